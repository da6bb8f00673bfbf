package order_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a result code that is missing from the page for callers, or
// has another name or meaning there.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/result-codes.md")
	is.NoErr(err)
	for _, code := range order.Codes() {
		row := fmt.Sprintf("| %d | %s | %s |", uint16(code), code, code.RunStatus())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/result-codes.md lacks the row %q", row)
		}
	}
}

// Guards against a group's message that goes to the wrong request partition
// because the request ID contains the separator of task IDs.
func TestTaskIDPartition(t *testing.T) {
	is := is.New(t)
	for _, id := range []order.RequestID{"r1", "shop/7", "a/b/c"} {
		task := order.NewTaskID("toys", id, 12)
		is.Equal(task.Partition(), order.RequestPartition("toys", id))
	}
}
