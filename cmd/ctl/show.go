package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/storage"
)

const (
	tabPadding        = 2 // spaces between columns
	milliCoresPerCore = 1000
	bytesPerGiB       = 1 << 30
)

// showCommand prints the recorded configuration, as tables or as JSON.
func (a *app) showCommand() *ffcli.Command {
	set := a.newFlagSet("show")
	asJSON := set.Bool("json", false, "print the JSON form")
	return a.leafCommand("show [flags]", "show the recorded configuration and the latest changes", "",
		set, 0, func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			store := storage.NewClient(a.storeURL)
			defer store.Close()
			base, err := sheet.NewEditor(store, a.clock).Load(ctx)
			if err != nil {
				return err
			}
			if !*asJSON {
				a.printConfig(base)
				return nil
			}
			data, err := sheet.EncodeConfig(base.Config())
			if err == nil {
				a.printf("%s\n", data)
			}
			return err
		})
}

func (a *app) printConfig(base sheet.Base) {
	c := base.Config()
	a.printf("revision %d\n\n", c.Revision())
	a.table("TEAM\tSHARE\tLIMIT\tDOMAINS", func(row func(...any)) {
		for _, t := range c.Teams() {
			row(t.Name(), t.Share(), t.Limit(), formatDomains(t.Domains()))
		}
	})
	a.table("KEY\tTEAM\tSTATE", func(row func(...any)) {
		for _, k := range c.Keys() {
			row(k.Hash(), k.Team(), keyState(k))
		}
	})
	a.table("DOMAIN OUT\tBY", func(row func(...any)) {
		for _, name := range c.ClosedDomains() {
			row(name, c.ClosedBy(name))
		}
	})
	a.printf("latest changes:\n")
	for _, change := range base.Changes() {
		a.printf("  %s\n", change)
	}
}

// hostsCommand prints the workers and entry hosts of the platform's host list.
func (a *app) hostsCommand() *ffcli.Command {
	return a.leafCommand("hosts [flags]", "show the platform's host list", "",
		a.newFlagSet("hosts"), 0, func(ctx context.Context, _ []string) error {
			hosts := roster.NewHostListClient(a.hostsURL, a.clock)
			if err := hosts.Fetch(ctx); err != nil {
				return err
			}
			a.table("WORKER\tDOMAIN\tGROUP\tCORES\tMEMORY GIB\tACCELERATORS\tSLOTS\tSTATE\tURL", func(row func(...any)) {
				for _, w := range hosts.Workers() {
					size := w.Size()
					row(w.ID(), w.Domain(), w.Group(), float64(size.Cores())/milliCoresPerCore,
						size.Memory()/bytesPerGiB, size.Accelerators(), w.Slots(), workerState(w), w.URL())
				}
			})
			a.table("ENTRY HOST\tDOMAIN", func(row func(...any)) {
				for _, e := range hosts.EntryHosts() {
					row(e.Address(), e.Domain())
				}
			})
			return nil
		})
}

// membersCommand prints the member records in the store, with the revision and
// the reachability of the store that each process reports.
func (a *app) membersCommand() *ffcli.Command {
	return a.leafCommand("members [flags]", "show the registered processes with their revisions", "",
		a.newFlagSet("members"), 0, func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			store := storage.NewClient(a.storeURL)
			defer store.Close()
			p := a.newPoller(store, 0)
			members, err := p.listMembers(ctx)
			if err != nil {
				return err
			}
			statuses := p.fetchStatuses(ctx, members)
			a.table("MEMBER\tROLE\tDOMAIN\tADMIN\tREVISION\tSTORE", func(row func(...any)) {
				for _, m := range members {
					status := statuses[m.ID]
					row(m.ID, m.Role, m.Domain, m.Admin, status.formatRevision(), status.formatStore())
				}
			})
			return nil
		})
}

func (a *app) waitCommand() *ffcli.Command {
	return a.leafCommand("wait [flags] REVISION", "wait until a revision is accepted", "",
		a.newFlagSet("wait"), 1, func(ctx context.Context, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return &usageError{text: fmt.Sprintf("revision %q: want a whole number", args[0])}
			}
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			store := storage.NewClient(a.storeURL)
			defer store.Close()
			return a.awaitAcceptance(ctx, store, order.Revision(revision))
		})
}

// table prints the rows that fill adds below a header and then an empty line.
// It prints nothing if there are no rows.
func (a *app) table(header string, fill func(row func(...any))) {
	w := tabwriter.NewWriter(a.out, 0, 0, tabPadding, ' ', 0)
	rows := 0
	fill(func(cells ...any) {
		if rows == 0 {
			fmt.Fprintln(w, header)
		}
		rows++
		texts := make([]string, 0, len(cells))
		for _, cell := range cells {
			texts = append(texts, fmt.Sprint(cell))
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	if rows > 0 {
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

func formatDomains(domains []order.DomainName) string {
	if len(domains) == 0 {
		return "all"
	}
	names := make([]string, 0, len(domains))
	for _, name := range domains {
		names = append(names, string(name))
	}
	return strings.Join(names, ",")
}

func keyState(k sheet.Key) string {
	if k.Withdrawn() {
		return "withdrawn"
	}
	return "valid"
}

func workerState(w roster.Worker) string {
	if w.Leaving() {
		return "leaving"
	}
	return "live"
}
