package command

import (
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// completions holds the completion script of each shell. The scripts call the
// program itself to list the possible next words.
var completions = map[string]string{
	"bash": `_teaselmoor() {
    local words
    words=$("${COMP_WORDS[@]:0:$COMP_CWORD}" --generate-bash-completion 2>/dev/null)
    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[$COMP_CWORD]}"))
}
complete -o default -F _teaselmoor teaselmoor`,
	"zsh": `#compdef teaselmoor
_teaselmoor() {
    local -a words
    words=("${(@f)$(_CLI_ZSH_AUTOCOMPLETE_HACK=1 ${words[@]:0:#words[@]-1} --generate-bash-completion 2>/dev/null)}")
    _describe 'teaselmoor' words
}
compdef _teaselmoor teaselmoor`,
}

func completionCommand() *cli.Command {
	return &cli.Command{
		Name:      "completion",
		Usage:     "write the completion script of a shell",
		ArgsUsage: "bash|zsh",
		Action: func(invocation *cli.Context) error {
			script, known := completions[invocation.Args().First()]
			if !known {
				return withCode(ExitUsage, errors.Errorf("shell %q: want bash or zsh", invocation.Args().First()))
			}
			writeLine(invocation, "%s", script)
			return nil
		},
	}
}
