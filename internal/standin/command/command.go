// Package command is the command line of the stand-ins.
package command

import (
	"github.com/urfave/cli/v2"
)

// New returns the command line application.
func New() *cli.App {
	return &cli.App{
		Name:  "standins",
		Usage: "run stand-ins of the systems around teaselmoor",
		Commands: []*cli.Command{
			demoCommand(), engineCommand(), weightStoreCommand(), platformCommand(), recordsCommand(),
		},
	}
}
