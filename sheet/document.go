package sheet

import (
	"encoding/json"
	"fmt"

	"chervilhollow/order"
)

type (
	configDocument struct {
		Revision order.Revision   `json:"revision"`
		Teams    []teamDocument   `json:"teams"`
		Keys     []keyDocument    `json:"keys"`
		Out      []domainDocument `json:"domains_out"`
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

	domainDocument struct {
		Name order.DomainName `json:"name"`
		Open bool             `json:"open,omitempty"`
		By   Source           `json:"by"`
	}
)

var sourceNames = map[Source]string{SourceSheet: "sheet", SourceOperator: "operator"}

// EncodeConfig returns the JSON form of a configuration. Equal
// configurations have the same form.
func EncodeConfig(c *Config) ([]byte, error) {
	data, err := json.Marshal(c.document())
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// DecodeConfig reads the JSON form of a configuration.
func DecodeConfig(data []byte) (*Config, error) {
	var d configDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return d.config(), nil
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
		Revision: c.revision,
		Teams:    make([]teamDocument, 0, len(c.teams)),
		Keys:     make([]keyDocument, 0, len(c.keys)),
		Out:      make([]domainDocument, 0, len(c.closed)),
	}
	for _, t := range c.Teams() {
		d.Teams = append(d.Teams, t.document())
	}
	for _, k := range c.Keys() {
		d.Keys = append(d.Keys, k.document())
	}
	for _, name := range c.ClosedDomains() {
		d.Out = append(d.Out, domainDocument{Name: name, By: c.closed[name]})
	}
	return d
}

func (d configDocument) config() *Config {
	c := NewConfig(d.Revision)
	for _, t := range d.Teams {
		c.teams[t.Name] = t.team()
	}
	for _, k := range d.Keys {
		c.keys[k.Hash] = k.key()
	}
	for _, out := range d.Out {
		c.setDomain(out.Name, false, out.By)
	}
	return c
}

func (t Team) document() teamDocument {
	return teamDocument{Name: t.name, Share: t.share, Limit: t.limit, Domains: t.domains}
}

func (d teamDocument) team() Team { return NewTeam(d.Name, d.Share, d.Limit, d.Domains...) }

func (k Key) document() keyDocument {
	return keyDocument{Hash: k.hash, Team: k.team, Withdrawn: k.withdrawn}
}

func (d keyDocument) key() Key { return NewKey(d.Hash, d.Team).WithWithdrawn(d.Withdrawn) }
