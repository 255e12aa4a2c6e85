// Command mangomastd runs the node beside an upstream.
package main

import (
	"os"

	"github.com/mangomast/mangomast/node"
	_ "github.com/mangomast/mangomast/plugin/standard"
)

func main() { os.Exit(node.Main(os.Args[1:], os.Stderr)) }
