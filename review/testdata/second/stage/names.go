package main

import (
	_ "embed"
	"strings"
)

// namesFile has the platform's names, one "key=value" a line.
//
//go:embed names.txt
var namesFile string

//go:embed settings.json
var settingsFile string

//go:embed config.json
var configFile string

// names are the platform's names by the keys that this program uses for them.
var names = parseNames(namesFile)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && !strings.HasPrefix(key, "#") {
			parsed[key] = value
		}
	}
	return parsed
}
