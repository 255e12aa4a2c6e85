// Command mangomast-sidecar runs a node on a VM of the users' platform. Nodes
// discover each other and their configuration through the platform's store.
package main

import (
	"os"

	"github.com/mangomast/mangomast/node"
	_ "github.com/mangomast/mangomast/platform"
	_ "github.com/mangomast/mangomast/plugin/sidecar"
)

func main() { os.Exit(node.Main(os.Args[1:], os.Stdout)) }
