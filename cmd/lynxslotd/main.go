// SPDX-License-Identifier: MIT

// Command lynxslotd is the sidecar daemon of one endpoint.
package main

import "lynxramp.org/box"

func main() {
	box.RunDaemon("lynxslotd", "Runs the slot of one endpoint until SIGTERM, then drains.", box.RunSlotFile)
}
