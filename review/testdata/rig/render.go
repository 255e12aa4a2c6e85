package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// render fills in a settings template as the platform does: values, sections and
// inverted sections.
func render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("placeholder %.40q has no end", rest)
		}
		template = rest
		if tag[0] != '#' && tag[0] != '^' {
			out.WriteString(value(tag, fields))
			continue
		}
		inner, rest, found := strings.Cut(template, "{{/"+tag[1:]+"}}")
		if !found {
			return "", fmt.Errorf("section %s has no end", tag)
		}
		template = rest
		_, present := lookup(tag[1:], fields)
		if present != (tag[0] == '#') {
			continue
		}
		text, err := render(inner, fields)
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
}

func value(tag string, fields map[string]any) string {
	name, form, _ := strings.Cut(tag, "|")
	got, ok := lookup(name, fields)
	if !ok {
		return ""
	}
	text, isText := got.(string)
	if isText && form != "json" {
		return text
	}
	data, err := json.Marshal(got)
	if err != nil {
		return ""
	}
	return string(data)
}

// lookup finds a value by its dotted name.
func lookup(name string, fields map[string]any) (any, bool) {
	var current any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch at := current.(type) {
		case map[string]any:
			current = at[part]
		case []any:
			var index int
			if _, err := fmt.Sscan(part, &index); err != nil || index >= len(at) {
				return nil, false
			}
			current = at[index]
		default:
			return nil, false
		}
	}
	return current, current != nil && current != false
}
