// SPDX-License-Identifier: MIT

// Command lynxrampfleet is the daemon of a box of a fleet on the users' platform:
// an entry or a control box, depending on its settings.
package main

import (
	"fmt"
	"os"

	"lynxramp.org/fleet"
	"lynxramp.org/platform"
)

func main() {
	if err := fleet.Run(os.Getenv(platform.SettingsVariable), platform.Dialect()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
