package sheet_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

const validSheet = "\uFEFFtype,name,value,state\r\n" + `limit,toys,400,
domain,east,,in
domain,west,,out
team,toys,west east,
share,toys,2.5,
team,pets,,
share,pets,1,
limit,pets,0,
key,toys,secret:a-long-random-secret,
key,pets,sha256:9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08,withdrawn
`

// apply checks the edits and returns the configuration after them.
func apply(t *testing.T, c *sheet.Config, edits []sheet.Edit) *sheet.Config {
	t.Helper()
	if err := c.Check(edits...); err != nil {
		t.Fatal(err)
	}
	n, err := c.Apply(sheet.NewChange("id", c.Revision()+1, edits...))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// importSheet applies a valid daily sheet and returns the notes of the import.
func importSheet(t *testing.T, c *sheet.Config, text string) (*sheet.Config, []string) {
	t.Helper()
	daily, err := sheet.ParseDailySheet([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	edits, notes, err := daily.Edits(c)
	if err != nil {
		t.Fatal(err)
	}
	return apply(t, c, edits), notes
}

// Guards against a row without effect, a team that is not removed although it
// is not in the sheet, and a second import of the same sheet that makes
// changes.
func TestDailyImport(t *testing.T) {
	is := is.New(t)
	c, notes := importSheet(t, sheet.NewConfig(0).WithTeam(sheet.NewTeam("old", 1, 1)), validSheet)
	is.Equal(len(notes), 0)
	toys, ok := c.Team("toys")
	is.True(ok)
	is.Equal(toys.Share(), 2.5)
	is.Equal(toys.Limit(), 400)
	is.Equal(toys.Domains(), []order.DomainName{"east", "west"})
	_, ok = c.Team("old")
	is.True(!ok)
	is.Equal(c.ClosedDomains(), []order.DomainName{"west"})
	_, state := c.Authenticate("a-long-random-secret")
	is.Equal(state, sheet.KeyValid)
	_, state = c.Authenticate("test")
	is.Equal(state, sheet.KeyWithdrawn)
	daily, err := sheet.ParseDailySheet([]byte(validSheet))
	is.NoErr(err)
	edits, _, err := daily.Edits(c)
	is.NoErr(err)
	is.Equal(len(edits), 0)
}

// Guards against an import that makes a withdrawn key valid or reopens a domain
// closed by an operator, because the sheet was exported before that.
func TestDailyImportKeepsOperatorsChanges(t *testing.T) {
	is := is.New(t)
	c, _ := importSheet(t, sheet.NewConfig(0), validSheet)
	key := sheet.NewKey(sheet.HashKey("a-long-random-secret"), "toys")
	c = apply(t, c, []sheet.Edit{
		sheet.WithdrawKey(key),
		sheet.SetDomain("east", false, sheet.SourceOperator),
		sheet.SetDomain("west", true, sheet.SourceOperator),
	})
	c, notes := importSheet(t, c, validSheet)
	is.Equal(len(notes), 2)
	_, state := c.Authenticate("a-long-random-secret")
	is.Equal(state, sheet.KeyWithdrawn)
	is.True(!c.DomainOpen("east"))
	is.True(!c.DomainOpen("west"))
	c, _ = importSheet(t, c, strings.Replace(validSheet, "west,,out", "west,,in", 1))
	is.True(c.DomainOpen("west")) // only the sheet had closed it
}

// Guards against an import that gives the key of one team to another team.
func TestDailyImportKeyOfOtherTeam(t *testing.T) {
	is := is.New(t)
	key := sheet.NewKey(sheet.HashKey("a-long-random-secret"), "pets")
	daily, err := sheet.ParseDailySheet([]byte(validSheet))
	is.NoErr(err)
	_, _, err = daily.Edits(sheet.NewConfig(4).WithKey(key))
	var faults *sheet.FaultsError
	is.True(errors.As(err, &faults))
	is.Equal(faults.Faults()[0].Row(), 10)
	is.Equal(faults.Faults()[0].Column(), "value")
}

// Guards against a fault that is not reported, or reported with the wrong row,
// column or reason. Each file in testdata/faults holds a sheet and its faults.
func TestDailyFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripted sheets", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			is.Equal(len(archive.Files), 2)
			_, err = sheet.ParseDailySheet(archive.Files[0].Data)
			var faults *sheet.FaultsError
			is.True(errors.As(err, &faults))
			var got strings.Builder
			for _, fault := range faults.Faults() {
				got.WriteString(fault.String() + "\n")
			}
			is.Equal(got.String(), string(archive.Files[1].Data))
		})
	}
}

// Guards against a sheet that causes a panic, is rejected without a fault, or
// is accepted although its edits are not valid. A second import must not make
// changes.
func FuzzParseDaily(f *testing.F) {
	f.Add([]byte(validSheet))
	files, _ := filepath.Glob("testdata/faults/*.txtar")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(txtar.Parse(data).Files[0].Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		daily, err := sheet.ParseDailySheet(data)
		if err != nil {
			var faults *sheet.FaultsError
			if !errors.As(err, &faults) || len(faults.Faults()) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		edits, _, err := daily.Edits(sheet.NewConfig(0))
		if err != nil {
			t.Fatal(err)
		}
		c := apply(t, sheet.NewConfig(0), edits)
		again, _, err := daily.Edits(c)
		if err != nil || len(again) != 0 {
			t.Fatalf("second import changes %v, %v", again, err)
		}
	})
}
