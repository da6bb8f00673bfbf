package sheet

import (
	"encoding/json"
	"fmt"

	"chervilhollow/order"
)

type (
	// configDocument is the JSON form of a configuration in snapshots and in
	// messages between processes.
	configDocument struct {
		Revision      order.Revision   `json:"revision"`
		Teams         []teamDocument   `json:"teams"`
		Keys          []keyDocument    `json:"keys"`
		ClosedDomains []domainDocument `json:"domains_out"`
	}

	teamDocument struct {
		Name    order.TeamName     `json:"name"`
		Share   float64            `json:"share"`
		Limit   int                `json:"limit"`
		Domains []order.DomainName `json:"domains,omitempty"`
	}

	keyDocument struct {
		Hash      string         `json:"hash"`
		Team      order.TeamName `json:"team"`
		Withdrawn bool           `json:"withdrawn,omitempty"`
	}

	// domainDocument is a closed domain of a configuration, or an edit that
	// opens or closes a domain.
	domainDocument struct {
		Name order.DomainName `json:"name"`
		Open bool             `json:"open,omitempty"`
		By   Source           `json:"by"`
	}
)

var sourceNames = map[Source]string{SourceSheet: "sheet", SourceOperator: "operator"}

// EncodeConfig returns the JSON form of a configuration. Equal configurations
// are encoded to equal bytes.
func EncodeConfig(c *Config) ([]byte, error) {
	data, err := json.Marshal(c.document())
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// DecodeConfig is the inverse of EncodeConfig. It checks the syntax only, not
// the values.
func DecodeConfig(data []byte) (*Config, error) {
	var d configDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return d.toConfig(), nil
}

// String implements fmt.Stringer.
func (s Source) String() string {
	if name, ok := sourceNames[s]; ok {
		return name
	}
	return fmt.Sprintf("source %d", uint8(s))
}

// MarshalText implements encoding.TextMarshaler.
func (s Source) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Source) UnmarshalText(text []byte) error {
	for source, name := range sourceNames {
		if name == string(text) {
			*s = source
			return nil
		}
	}
	return fmt.Errorf("unknown source %q", text)
}

func (c *Config) document() configDocument {
	d := configDocument{
		Revision:      c.revision,
		Teams:         make([]teamDocument, 0, len(c.teams)),
		Keys:          make([]keyDocument, 0, len(c.keys)),
		ClosedDomains: make([]domainDocument, 0, len(c.closed)),
	}
	for _, t := range c.Teams() {
		d.Teams = append(d.Teams, t.document())
	}
	for _, k := range c.Keys() {
		d.Keys = append(d.Keys, k.document())
	}
	for _, name := range c.ClosedDomains() {
		d.ClosedDomains = append(d.ClosedDomains, domainDocument{Name: name, By: c.closed[name]})
	}
	return d
}

func (d configDocument) toConfig() *Config {
	c := NewConfig(d.Revision)
	for _, t := range d.Teams {
		c.teams[t.Name] = t.toTeam()
	}
	for _, k := range d.Keys {
		c.keys[k.Hash] = k.toKey()
	}
	for _, out := range d.ClosedDomains {
		c.setDomain(out.Name, false, out.By)
	}
	return c
}

func (t Team) document() teamDocument {
	return teamDocument{Name: t.name, Share: t.share, Limit: t.limit, Domains: t.domains}
}

func (d teamDocument) toTeam() Team { return NewTeam(d.Name, d.Share, d.Limit, d.Domains...) }

func (k Key) document() keyDocument {
	return keyDocument{Hash: k.hash, Team: k.team, Withdrawn: k.withdrawn}
}

func (d keyDocument) toKey() Key { return NewKey(d.Hash, d.Team).WithWithdrawn(d.Withdrawn) }
