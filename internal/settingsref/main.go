// Command settingsref prints docs/SETTINGS.md, the reference of a node's
// settings. It generates the page from the fields, doc comments and default
// values of the settings structs. Run it from the root of the repository:
//
//	go run ./internal/settingsref > docs/SETTINGS.md
package main

import (
	"fmt"
	"os"

	// Import all modules, so that the reference covers their settings.
	_ "github.com/mangomast/mangomast/platform"
	_ "github.com/mangomast/mangomast/plugin/sidecar"
	_ "github.com/mangomast/mangomast/plugin/standard"
)

func main() {
	text, err := renderPage(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(text)
}
