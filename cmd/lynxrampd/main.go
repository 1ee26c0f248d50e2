// SPDX-License-Identifier: MIT

// Command lynxrampd is the daemon of a box. Its settings give it the entry role,
// the control role or both.
package main

import "lynxramp.org/box"

func main() {
	box.RunDaemon("lynxrampd", "Runs a box of lynxramp until SIGTERM, then drains.", box.RunFile)
}
