// Package standard links every module of the ordinary node into a binary.
package standard

import (
	// The modules register themselves.
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
