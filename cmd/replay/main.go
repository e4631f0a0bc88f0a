// Command replay runs request traces through the daemons' decision code in virtual
// time and reports measurements.
package main

import (
	"fmt"
	"os"

	"teaselmoor/internal/replay/command"
)

func main() {
	if err := command.New().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}
