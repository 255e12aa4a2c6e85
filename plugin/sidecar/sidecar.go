// Package sidecar links the modules of a node without a console and without a
// listener for configuration changes. The platform's operator writes the
// configuration to the store.
package sidecar

import (
	// The modules register themselves.
	_ "github.com/mangomast/mangomast/plugin/entry"
	_ "github.com/mangomast/mangomast/plugin/evacuation"
	_ "github.com/mangomast/mangomast/plugin/follower"
	_ "github.com/mangomast/mangomast/plugin/guard"
	_ "github.com/mangomast/mangomast/plugin/mesh"
	_ "github.com/mangomast/mangomast/plugin/metrics"
	_ "github.com/mangomast/mangomast/plugin/pool"
	_ "github.com/mangomast/mangomast/plugin/roster"
)
