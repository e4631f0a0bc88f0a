package command_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/command"
	"teaselmoor/internal/serve/metrics"
)

const docs = "../../../docs/"

// firstColumns returns the first column of all tables of a page, one row a line.
func firstColumns(t testing.TB, page string) string {
	t.Helper()
	text, err := os.ReadFile(docs + page)
	require.NoError(t, err)
	var rows strings.Builder
	for _, line := range strings.Split(string(text), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			rows.WriteString(cells[1] + "\n")
		}
	}
	return rows.String()
}

// TestOperationsPageIsComplete checks that the page has a row for each reason code
// and each metric.
func TestOperationsPageIsComplete(t *testing.T) {
	rows := firstColumns(t, "OPERATIONS.md")
	for _, reason := range outcome.Reasons() {
		require.Regexp(t, `\b`+string(reason)+`\b`, rows, "reason code")
	}
	for _, name := range metrics.Names() {
		require.Regexp(t, `\b`+name+`\b`, rows, "metric")
	}
}

var linkTarget = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

// TestLinksResolve checks that every link between the project's own pages leads to
// a file.
func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob(docs + "*.md")
	require.NoError(t, err)
	for _, page := range append(pages, docs+"../README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, link := range linkTarget.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			require.NoError(t, err, page)
		}
	}
}

// TestDocumentedCommandsExist checks that the commands that the pages show exist.
func TestDocumentedCommandsExist(t *testing.T) {
	known := map[string]bool{"help": true}
	for _, each := range command.New().Commands {
		known[each.Name] = true
	}
	shown := regexp.MustCompile("(?:`|    |cmd/)teaselmoor ([a-z-]+)")
	for _, page := range []string{"OPERATIONS.md", "CONFIGURATION.md", "SETTINGS.md", "DEVELOPERS.md", "../README.md"} {
		text, err := os.ReadFile(docs + page)
		require.NoError(t, err)
		for _, match := range shown.FindAllStringSubmatch(string(text), -1) {
			require.True(t, known[match[1]], "%s: teaselmoor %s", page, match[1])
		}
	}
}

// TestLayoutIsComplete checks that the developers' page mentions each directory
// under internal.
func TestLayoutIsComplete(t *testing.T) {
	text, err := os.ReadFile(docs + "DEVELOPERS.md")
	require.NoError(t, err)
	directories, err := os.ReadDir("../..")
	require.NoError(t, err)
	for _, directory := range directories {
		require.Contains(t, string(text), "internal/"+directory.Name()+"/")
	}
}
