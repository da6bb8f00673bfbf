package frontend

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against an HTTP status that differs from the table of codes in
// docs/callers.md.
func TestStatusIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/callers.md")
	is.NoErr(err)
	documented := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d{3}) \| ([\d, ]+) \|$`).FindAllStringSubmatch(string(page), -1) {
		for _, code := range strings.Split(row[2], ", ") {
			documented[code] = row[1]
		}
	}
	for _, code := range order.Codes() {
		number := strconv.Itoa(int(code))
		if status := strconv.Itoa(newReply(code).httpStatus()); documented[number] != status {
			t.Errorf("code %s has status %s, docs/callers.md says %q", number, status, documented[number])
		}
	}
	is.Equal(len(documented), len(order.Codes()))
}
