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

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
)

const secretBytes = 32

const importHelp = `Applies the planners' daily sheet as one change. The sheet is a CSV file:

  type,name,value,state
  domain,east,,in            domain is in or out
  team,toys,east west,       failure domains the team may use; empty: all
  share,toys,3,              weight when everything is full
  limit,toys,400,            how many tasks the team may have running
  key,toys,sha256:HEX,       hash of a key's secret, state valid or withdrawn
  key,toys,secret:TEXT,      or the secret itself, stored as its hash

Teams that the sheet does not have are removed; keys and domains that it does
not name stay as they are. A withdrawn key stays withdrawn, and a domain that
was taken out with "ctl domain out" stays out. An invalid sheet is rejected as
a whole with the row, column and reason of every fault.`

// change records the edits that the function chooses and waits until the
// revision is accepted. The function recorded, if any, runs in between.
func (a *app) change(ctx context.Context, choose func(*sheet.Config) ([]sheet.Edit, error), recorded func()) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	store := depot.NewClient(a.storeAt)
	defer store.Close()
	editor := sheet.NewEditor(store, a.clock, sheet.WithAuthor(a.author))
	base, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	edits, err := choose(base.Config())
	if err != nil {
		return err
	}
	change, err := editor.Apply(ctx, base, edits...)
	if errors.Is(err, sheet.ErrNoChange) {
		revision := base.Config().Revision()
		a.printf("nothing to change in revision %d\n", revision)
		return a.await(ctx, store, revision)
	}
	if err != nil {
		return err
	}
	a.printf("recorded revision %d\n", change.Revision())
	for _, edit := range change.Edits() {
		a.printf("  %s\n", edit)
	}
	if recorded != nil {
		recorded()
	}
	return a.await(ctx, store, change.Revision())
}

func (a *app) importCommand() *ffcli.Command {
	return a.leaf("import [flags] SHEET.csv", "apply the planners' daily sheet", importHelp,
		a.flags("import"), 1, func(ctx context.Context, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			daily, err := sheet.ParseDaily(data)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return a.change(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				edits, notes, err := daily.Edits(c)
				for _, note := range notes {
					a.printf("note: %s\n", note)
				}
				return edits, err
			}, nil)
		})
}

func (a *app) keyCommand() *ffcli.Command {
	give := a.leaf("key give [flags] TEAM", "make a key for a team and print its secret",
		"Prints the new secret once, when it is recorded. The store keeps only its hash.",
		a.flags("give"), 1, func(ctx context.Context, args []string) error {
			return a.giveKey(ctx, order.TeamName(args[0]))
		})
	withdraw := a.leaf("key withdraw [flags] HASH-OR-SECRET", "withdraw a key for good",
		"Takes the hash that \"ctl show\" prints, or the secret. A withdrawn key never becomes valid again.",
		a.flags("withdraw"), 1, func(ctx context.Context, args []string) error {
			return a.change(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return withdrawal(c, args[0])
			}, nil)
		})
	forget := a.leaf("key forget [flags] HASH|all", "remove the records of withdrawn keys, to make room",
		"The keys stay unusable, but a sheet exported before they were withdrawn would add them again.",
		a.flags("forget"), 1, func(ctx context.Context, args []string) error {
			return a.change(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return forgetting(c, args[0]), nil
			}, nil)
		})
	return a.group("key", "give, withdraw or forget a team's key", give, withdraw, forget)
}

// forgetting returns the edits that forget one withdrawn key or all.
func forgetting(c *sheet.Config, name string) []sheet.Edit {
	if name != "all" {
		return []sheet.Edit{sheet.ForgetKey(strings.ToLower(strings.TrimPrefix(name, "sha256:")))}
	}
	var edits []sheet.Edit
	for _, key := range c.Keys() {
		if key.Withdrawn() {
			edits = append(edits, sheet.ForgetKey(key.Hash()))
		}
	}
	return edits
}

func (a *app) giveKey(ctx context.Context, team order.TeamName) error {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	secret := base64.RawURLEncoding.EncodeToString(random)
	key := sheet.NewKey(sheet.HashKey(secret), team)
	choose := func(*sheet.Config) ([]sheet.Edit, error) {
		return []sheet.Edit{sheet.GiveKey(key)}, nil
	}
	err := a.change(ctx, choose, func() { a.printf("secret %s\n", secret) })
	if errors.Is(err, depot.ErrUncertain) {
		return fmt.Errorf("key %s: %w", key.Hash(), err)
	}
	return err
}

// withdrawal returns the edit that withdraws a key named by hash or secret.
func withdrawal(c *sheet.Config, name string) ([]sheet.Edit, error) {
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
	out := a.leaf("domain out [flags] NAME", "take a failure domain out: no task starts there",
		"Running tasks go on. The daily sheet does not bring the domain back.",
		a.flags("out"), 1, func(ctx context.Context, args []string) error {
			return a.setDomain(ctx, order.DomainName(args[0]), false)
		})
	back := a.leaf("domain back [flags] NAME", "bring a failure domain back", "",
		a.flags("back"), 1, func(ctx context.Context, args []string) error {
			return a.setDomain(ctx, order.DomainName(args[0]), true)
		})
	return a.group("domain", "take a failure domain out or bring it back", out, back)
}

func (a *app) setDomain(ctx context.Context, name order.DomainName, open bool) error {
	return a.change(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
		if c.DomainOpen(name) == open && c.ClosedBy(name) != sheet.SourceSheet {
			return nil, a.checkDomain(ctx, name, c)
		}
		if err := a.checkDomain(ctx, name, c); err != nil {
			return nil, err
		}
		return []sheet.Edit{sheet.SetDomain(name, open, sheet.SourceOperator)}, nil
	}, nil)
}

// checkDomain refuses a name that neither the host list nor the configuration
// knows, because a misspelt name would leave the domain in use. If the host
// list does not answer, the name is accepted.
func (a *app) checkDomain(ctx context.Context, name order.DomainName, c *sheet.Config) error {
	if !c.DomainOpen(name) {
		return nil
	}
	hosts := roster.NewHosts(a.hostsAt, a.clock)
	if err := hosts.Fetch(ctx); err != nil {
		a.printf("note: the name %s was not checked: %v\n", name, err)
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

// teamFlags are the flags of "team set".
type teamFlags struct {
	set     *flag.FlagSet
	share   float64
	limit   int
	domains string
}

func (a *app) teamCommand() *ffcli.Command {
	f := &teamFlags{set: a.flags("set")}
	f.set.Float64Var(&f.share, "share", 0, "weight when everything is full, above zero")
	f.set.IntVar(&f.limit, "limit", 0, "how many tasks the team may have running")
	f.set.StringVar(&f.domains, "domains", "", "failure domains the team may use, separated by commas; empty: all")
	set := a.leaf("team set [flags] NAME", "add a team or change its share, limit or domains",
		"Values that are not given stay as they are. A new team needs --share and --limit.",
		f.set, 1, func(ctx context.Context, args []string) error {
			return a.change(ctx, func(c *sheet.Config) ([]sheet.Edit, error) {
				return f.edits(c, order.TeamName(args[0]))
			}, nil)
		})
	return a.group("team", "change a team", set)
}

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

func splitDomains(text string) []order.DomainName {
	var names []order.DomainName
	for _, field := range strings.Split(text, ",") {
		if name := strings.TrimSpace(field); name != "" {
			names = append(names, order.DomainName(name))
		}
	}
	return names
}
