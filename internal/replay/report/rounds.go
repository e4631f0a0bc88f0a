package report

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// Rounds is a table of figures measured in successive rounds of work, with a row for
// each round and a column for each figure.
type Rounds struct {
	Names   []string   // of the columns
	Figures [][]Figure // by column, in order of rounds
}

// Figure is one value measured in a round; rounds count from 1.
type Figure struct {
	Round int
	Value float64
}

// ReadRounds reads a CSV table whose first row names the columns and whose first
// column names the rounds. An empty cell means that the figure was not measured.
func ReadRounds(table io.Reader) (Rounds, error) {
	rows, err := csv.NewReader(table).ReadAll()
	if err != nil {
		return Rounds{}, errors.Wrap(err, "read rounds")
	}
	if len(rows) < 2 || len(rows[0]) < 2 {
		return Rounds{}, errors.New("read rounds: want a row of names, and a row for each round")
	}
	rounds := Rounds{Names: rows[0][1:], Figures: make([][]Figure, len(rows[0])-1)}
	for i, row := range rows[1:] {
		for column, cell := range row[1:] {
			if cell == "" {
				continue
			}
			value, err := strconv.ParseFloat(cell, 64)
			if err != nil {
				return Rounds{}, errors.Wrapf(err, "read rounds: round %d, %s", i+1, rounds.Names[column])
			}
			rounds.Figures[column] = append(rounds.Figures[column], Figure{Round: i + 1, Value: value})
		}
	}
	return rounds, nil
}

// Plot draws a line for each column into a file. The extension of the path selects
// the format.
func (rounds Rounds) Plot(path, title string) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = "round"
	drawing.Y.Label.Text = "worth"
	drawing.Legend.Left = true
	var lines []any
	for column, name := range rounds.Names {
		points := make(plotter.XYs, 0, len(rounds.Figures[column]))
		for _, figure := range rounds.Figures[column] {
			points = append(points, plotter.XY{X: float64(figure.Round), Y: figure.Value})
		}
		if len(points) > 0 {
			lines = append(lines, name, points)
		}
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, path), "save plot")
}
