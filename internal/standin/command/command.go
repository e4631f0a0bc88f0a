// Package command implements the command line of the stand-ins.
package command

import (
	"github.com/urfave/cli/v2"
)

// New returns the application with its commands.
func New() *cli.App {
	return &cli.App{
		Name:  "standins",
		Usage: "run stand-ins of the systems around teaselmoor",
		Commands: []*cli.Command{
			demoCommand(), engineCommand(), weightStoreCommand(), platformCommand(), recordsCommand(),
		},
	}
}
