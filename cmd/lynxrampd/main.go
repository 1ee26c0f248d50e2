// SPDX-License-Identifier: MIT

// Command lynxrampd is the daemon of a box: it takes callers' requests, keeps
// the control state, or both, as its settings say.
package main

import "lynxramp.org/box"

func main() {
	box.RunDaemon("lynxrampd", "Runs a box of lynxramp until it is told to stop (SIGTERM), then drains.", box.RunFile)
}
