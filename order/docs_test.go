package order_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a result code that the callers' table lacks or describes with
// another name or meaning.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/result-codes.md")
	is.NoErr(err)
	for _, code := range order.Codes() {
		row := fmt.Sprintf("| %d | %s | %s |", uint16(code), code, code.Run())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/result-codes.md lacks the row %q", row)
		}
	}
}

// Guards against an answer of a group that reaches another partition than the
// one that owns the task, for IDs that contain the separator.
func TestTaskIDNamesItsPartition(t *testing.T) {
	is := is.New(t)
	for _, id := range []order.RequestID{"r1", "shop/7", "a/b/c"} {
		task := order.NewTaskID("toys", id, 12)
		is.Equal(task.Partition(), order.RequestPartition("toys", id))
	}
}
