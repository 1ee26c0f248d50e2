// SPDX-License-Identifier: MIT

// Command lynxslotd is the daemon beside one endpoint.
package main

import "lynxramp.org/box"

func main() {
	box.RunDaemon("lynxslotd", "Guards one endpoint until it is told to stop (SIGTERM), then drains.", box.RunSlotFile)
}
