package health

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestChartPage(t *testing.T) {
	golden.Assert(t, Chart().Markdown(), "../../../docs/charts/target.md")
}
