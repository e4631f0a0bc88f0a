package command

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "write all settings with their defaults and comments as YAML",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "markdown", Usage: "write the page docs/SETTINGS.md"},
		},
		Action: func(invocation *cli.Context) error {
			if invocation.Bool("json") {
				entries, err := settings.Describe()
				if err != nil {
					return err
				}
				return writeJSON(invocation, entries)
			}
			render := settings.Template
			if invocation.Bool("markdown") {
				render = settings.Page
			}
			text, err := render()
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(invocation.App.Writer, text)
			return err
		},
	}
}
