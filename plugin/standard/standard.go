// Package standard imports the modules of a standard node, so that a binary
// that imports it includes them.
package standard

import (
	// Each module registers itself when it is imported.
	_ "github.com/mangomast/mangomast/plugin/admin"
	_ "github.com/mangomast/mangomast/plugin/claims"
	_ "github.com/mangomast/mangomast/plugin/config"
	_ "github.com/mangomast/mangomast/plugin/console"
	_ "github.com/mangomast/mangomast/plugin/dispatch"
	_ "github.com/mangomast/mangomast/plugin/egress"
	_ "github.com/mangomast/mangomast/plugin/inbound"
	_ "github.com/mangomast/mangomast/plugin/ingress"
	_ "github.com/mangomast/mangomast/plugin/membership"
	_ "github.com/mangomast/mangomast/plugin/mesh"
	_ "github.com/mangomast/mangomast/plugin/operator"
	_ "github.com/mangomast/mangomast/plugin/quarantine"
	_ "github.com/mangomast/mangomast/plugin/quota"
	_ "github.com/mangomast/mangomast/plugin/store"
)
