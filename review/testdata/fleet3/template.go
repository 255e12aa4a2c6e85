package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}]+)\}\}`)

// render fills in a settings template from the platform's fields. It supports what
// templates of this repository use: values, their JSON, and sections.
func render(text string, fields any) (string, error) {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:at[0]])
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		rest := text[at[1]:]
		if kind == "" {
			value, err := printed(name, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			text = rest
			continue
		}
		inside, after, found := strings.Cut(rest, "{{/"+name+"}}")
		if !found || kind == "/" {
			return "", fmt.Errorf("section %s has no beginning or no end", name)
		}
		value := lookup(name, fields)
		present := value != nil && value != false
		if present == (kind == "#") {
			rendered, err := render(inside, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(rendered)
		}
		text = after
	}
}

func printed(name string, fields any) (string, error) {
	name, asJSON := strings.CutSuffix(name, "|json")
	value := lookup(name, fields)
	text, isText := value.(string)
	switch {
	case isText && !asJSON:
		return text, nil
	case value == nil && !asJSON:
		return "", nil
	}
	data, err := json.Marshal(value)
	return string(data), err
}

func lookup(name string, fields any) any {
	value := fields
	for part := range strings.SplitSeq(name, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(container) {
				return nil
			}
			value = container[i]
		default:
			return nil
		}
	}
	return value
}
