package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/storage"
)

// secretBytes is the number of random bytes in the secret of a new key.
const secretBytes = 32

const importHelp = `Applies the planners' daily sheet as one change. The sheet is a CSV file:

  type,name,value,state
  domain,east,,in            domain is in or out
  team,toys,east west,       failure domains the team may use; empty: all
  share,toys,3,              fair-share weight when the cell is full
  limit,toys,400,            how many tasks the team may have running
  key,toys,sha256:HEX,       hash of a key's secret, state valid or withdrawn
  key,toys,secret:TEXT,      or the secret itself, stored as its hash

Teams that are not in the sheet are removed; keys and domains that are not in
the sheet are left unchanged. A withdrawn key stays withdrawn, and a domain that
was taken out with "ctl domain out" stays out. An invalid sheet is rejected as
a whole, with the row, column and reason of every error.`

// applyChange loads the configuration, records the edits that buildEdits
// returns for it as one change, and waits until the new revision is accepted.
// onRecorded, if not nil, runs once the change is in the store, before the
// wait. If there is nothing to change, applyChange records nothing and waits
// for the present revision.
func (a *app) applyChange(ctx context.Context, buildEdits func(*sheet.Config) ([]sheet.Edit, error), onRecorded func()) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	store := storage.NewClient(a.storeURL)
	defer store.Close()
	editor := sheet.NewEditor(store, a.clock, sheet.WithAuthor(a.author))
	base, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	edits, err := buildEdits(base.Config())
	if err != nil {
		return err
	}
	change, err := editor.Apply(ctx, base, edits...)
	if errors.Is(err, sheet.ErrNoChange) {
		revision := base.Config().Revision()
		a.printf("nothing to change in revision %d\n", revision)
		return a.awaitAcceptance(ctx, store, revision)
	}
	if err != nil {
		return err
	}
	a.printf("recorded revision %d\n", change.Revision())
	for _, edit := range change.Edits() {
		a.printf("  %s\n", edit)
	}
	if onRecorded != nil {
		onRecorded()
	}
	return a.awaitAcceptance(ctx, store, change.Revision())
}

func (a *app) importCommand() *ffcli.Command {
	return a.leafCommand("import [flags] SHEET.csv", "apply the planners' daily sheet", importHelp,
		a.newFlagSet("import"), 1, func(ctx context.Context, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			daily, err := sheet.ParseDailySheet(data)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return a.applyChange(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				edits, notes, err := daily.Edits(c)
				for _, note := range notes {
					a.printf("note: %s\n", note)
				}
				return edits, err
			}, nil)
		})
}

func (a *app) keyCommand() *ffcli.Command {
	give := a.leafCommand("key give [flags] TEAM", "create a key for a team and print its secret",
		"Prints the new secret once, after it is recorded. The store keeps only its hash.",
		a.newFlagSet("give"), 1, func(ctx context.Context, args []string) error {
			return a.giveKey(ctx, order.TeamName(args[0]))
		})
	withdraw := a.leafCommand("key withdraw [flags] HASH-OR-SECRET", "withdraw a key permanently",
		"Takes the hash that \"ctl show\" prints, or the secret. A withdrawn key never becomes valid again.",
		a.newFlagSet("withdraw"), 1, func(ctx context.Context, args []string) error {
			return a.applyChange(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return withdrawEdits(c, args[0])
			}, nil)
		})
	forget := a.leafCommand("key forget [flags] HASH|all", "delete the records of withdrawn keys to free space",
		"The keys stay invalid, but importing a sheet from before the withdrawal would add them again.",
		a.newFlagSet("forget"), 1, func(ctx context.Context, args []string) error {
			return a.applyChange(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return forgetEdits(c, args[0]), nil
			}, nil)
		})
	return a.groupCommand("key", "give, withdraw or forget a team's key", give, withdraw, forget)
}

// forgetEdits returns the edits that delete the record of the withdrawn key
// with this hash, or of all withdrawn keys if the name is "all".
func forgetEdits(c *sheet.Config, name string) []sheet.Edit {
	if name != "all" {
		return []sheet.Edit{sheet.DeleteWithdrawnKey(strings.ToLower(strings.TrimPrefix(name, "sha256:")))}
	}
	var edits []sheet.Edit
	for _, key := range c.Keys() {
		if key.Withdrawn() {
			edits = append(edits, sheet.DeleteWithdrawnKey(key.Hash()))
		}
	}
	return edits
}

// giveKey creates a key with a random secret for the team and prints the secret
// once it is recorded. If the answer of the store was lost, the error names the
// key's hash, by which the operator can check the key and withdraw it.
func (a *app) giveKey(ctx context.Context, team order.TeamName) error {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	secret := base64.RawURLEncoding.EncodeToString(random)
	key := sheet.NewKey(sheet.HashKey(secret), team)
	buildEdits := func(*sheet.Config) ([]sheet.Edit, error) {
		return []sheet.Edit{sheet.AddKey(key)}, nil
	}
	err := a.applyChange(ctx, buildEdits, func() { a.printf("secret %s\n", secret) })
	if errors.Is(err, storage.ErrUncertain) {
		return fmt.Errorf("key %s: %w", key.Hash(), err)
	}
	return err
}

// withdrawEdits returns the edit that withdraws the key with this hash or
// secret, or no edit if the key is already withdrawn.
func withdrawEdits(c *sheet.Config, name string) ([]sheet.Edit, error) {
	key, ok := c.Key(strings.ToLower(strings.TrimPrefix(name, "sha256:")))
	if !ok {
		key, ok = c.Key(sheet.HashKey(name))
	}
	switch {
	case !ok:
		return nil, errors.New("no key has this hash or secret")
	case key.Withdrawn():
		return nil, nil
	}
	return []sheet.Edit{sheet.WithdrawKey(key)}, nil
}

func (a *app) domainCommand() *ffcli.Command {
	out := a.leafCommand("domain out [flags] NAME", "take a failure domain out of service: no new tasks start there",
		"Running tasks continue. Importing the daily sheet does not bring the domain back.",
		a.newFlagSet("out"), 1, func(ctx context.Context, args []string) error {
			return a.setDomain(ctx, order.DomainName(args[0]), false)
		})
	back := a.leafCommand("domain back [flags] NAME", "put a failure domain back in service", "",
		a.newFlagSet("back"), 1, func(ctx context.Context, args []string) error {
			return a.setDomain(ctx, order.DomainName(args[0]), true)
		})
	return a.groupCommand("domain", "take a failure domain out of service or put it back", out, back)
}

// setDomain opens or closes a failure domain for the operator. A domain that
// the daily sheet closed is recorded again with the operator as the source, so
// that the next sheet does not open it.
func (a *app) setDomain(ctx context.Context, name order.DomainName, open bool) error {
	return a.applyChange(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
		if c.DomainOpen(name) == open && c.ClosedBy(name) != sheet.SourceSheet {
			return nil, a.checkDomain(ctx, name, c)
		}
		if err := a.checkDomain(ctx, name, c); err != nil {
			return nil, err
		}
		return []sheet.Edit{sheet.SetDomain(name, open, sheet.SourceOperator)}, nil
	}, nil)
}

// checkDomain returns an error for a name that is neither in the host list nor
// closed in the configuration, because a misspelt name would leave the intended
// domain in service. If the host list cannot be fetched, the name is accepted.
func (a *app) checkDomain(ctx context.Context, name order.DomainName, c *sheet.Config) error {
	if !c.DomainOpen(name) {
		return nil
	}
	hosts := roster.NewHostListClient(a.hostsURL, a.clock)
	if err := hosts.Fetch(ctx); err != nil {
		a.printf("note: the name %s was not checked against the host list: %v\n", name, err)
		return nil
	}
	known := make([]string, 0)
	for _, w := range hosts.Workers() {
		known = append(known, string(w.Domain()))
	}
	for _, e := range hosts.EntryHosts() {
		known = append(known, string(e.Domain()))
	}
	for _, k := range known {
		if k == string(name) {
			return nil
		}
	}
	return fmt.Errorf("the host list has no failure domain %s", name)
}

// teamFlags holds the flags of "team set". The flag set itself is needed to
// distinguish flags that were given from defaults.
type teamFlags struct {
	set     *flag.FlagSet
	share   float64
	limit   int
	domains string
}

func (a *app) teamCommand() *ffcli.Command {
	f := &teamFlags{set: a.newFlagSet("set")}
	f.set.Float64Var(&f.share, "share", 0, "fair-share weight when the cell is full, above zero")
	f.set.IntVar(&f.limit, "limit", 0, "how many tasks the team may have running")
	f.set.StringVar(&f.domains, "domains", "", "failure domains the team may use, separated by commas; empty: all")
	set := a.leafCommand("team set [flags] NAME", "add a team or change its share, limit or domains",
		"Values that are not given stay unchanged. A new team needs --share and --limit.",
		f.set, 1, func(ctx context.Context, args []string) error {
			return a.applyChange(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return f.edits(c, order.TeamName(args[0]))
			}, nil)
		})
	return a.groupCommand("team", "change a team", set)
}

// edits returns the edit that gives the team the values of the flags, or no
// edit if the team has them already.
func (f *teamFlags) edits(c *sheet.Config, name order.TeamName) ([]sheet.Edit, error) {
	given := make(map[string]bool)
	f.set.Visit(func(g *flag.Flag) { given[g.Name] = true })
	team, ok := c.Team(name)
	if !ok {
		if !given["share"] || !given["limit"] {
			return nil, &usageError{text: fmt.Sprintf("no team %s; a new team needs --share and --limit", name)}
		}
		team = sheet.NewTeam(name, 0, 0)
	}
	before := sheet.SetTeam(team).String()
	if given["share"] {
		team = team.WithShare(f.share)
	}
	if given["limit"] {
		team = team.WithLimit(f.limit)
	}
	if given["domains"] {
		team = team.WithDomains(splitDomains(f.domains)...)
	}
	edit := sheet.SetTeam(team)
	if ok && edit.String() == before {
		return nil, nil
	}
	return []sheet.Edit{edit}, nil
}

// splitDomains splits a comma-separated list and drops empty names.
func splitDomains(text string) []order.DomainName {
	var names []order.DomainName
	for _, field := range strings.Split(text, ",") {
		if name := strings.TrimSpace(field); name != "" {
			names = append(names, order.DomainName(name))
		}
	}
	return names
}
