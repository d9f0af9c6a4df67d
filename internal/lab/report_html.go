package lab

import (
	_ "embed" // for the template
	"fmt"
	"html/template"
	"io"

	"capercove/internal/load"
)

//go:embed report.gohtml
var reportText string

// reportTemplate is a page that needs no other file.
var reportTemplate = template.Must(template.New("report").Parse(reportText))

// reportPage is what the template shows.
type reportPage struct {
	Run     *Run
	Columns []statsColumn
	Tables  []reportTable
	Charts  []template.HTML
}

// reportTable is a table of classes or tenants.
type reportTable struct {
	Title string
	Rows  [][]string // a name and a cell for each column
}

// newReportTable returns a table of classes or tenants.
func newReportTable(title string, all map[string]*load.Stats) reportTable {
	table := reportTable{Title: title}
	for _, name := range sortedNames(all) {
		row := []string{name}
		for _, column := range statsColumns {
			row = append(row, column.cell(all[name]))
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

// HTML writes the run as a page with tables and charts.
func (run *Run) HTML(out io.Writer) error {
	page := reportPage{
		Run:     run,
		Columns: statsColumns,
		Tables: []reportTable{
			newReportTable("class", run.Result.Classes),
			newReportTable("tenant", run.Result.Tenants),
		},
	}
	for _, described := range charts {
		drawn, err := run.draw(described)
		if err != nil {
			return fmt.Errorf("chart %q: %w", described.title, err)
		}
		page.Charts = append(page.Charts, drawn)
	}
	return reportTemplate.Execute(out, page)
}
