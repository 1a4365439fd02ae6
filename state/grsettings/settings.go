// Package grsettings reads the settings of a daemon from INI and checks them
// whole: every fault is reported, not only the first.
//
//	settings, err := grsettings.Parse("entry.ini", data)
//	var faults *grsettings.Faults
//	if errors.As(err, &faults) { ... }
package grsettings

import (
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
)

// TLS names the files of one listener's certificate. Empty fields leave TLS
// off; ClientCA asks peers for certificates of their own.
type TLS struct{ Certificate, Key, ClientCA string }

// On reports whether TLS is asked for.
func (t TLS) On() bool { return t.Certificate != "" }

// Settings is what one daemon is started with.
type Settings struct {
	Instance      grid.InstanceID
	FailureDomain grid.FailureDomain
	Callers       grid.Address   // listens for callers
	Peers         grid.Address   // listens for other instances
	Operators     grid.Address   // listens for operators
	Platform      []grid.Address // the platform's object API
	Seeds         []grid.Address // peers to ask at the start
	EntryTTL      grclock.Millis // how long callers keep a list of entries
	LogLevel      string
	TraceExporter string
	TraceAddress  grid.Address
	OperatorToken string
	CallersTLS    TLS
	PeersTLS      TLS
	OperatorsTLS  TLS
}

// Fault is one faulty line.
type Fault struct{ File, Section, Key, Value, Allowed string }

// Error describes the fault.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// Faults holds every fault of a file.
type Faults struct{ List []Fault }

// Error describes each fault on a line of its own.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Bounds and defaults of the settings.
const (
	defaultTTL = 2 * grclock.Second
	minTTL     = 200 * grclock.Millisecond
	maxTTL     = grclock.Minute
)

// Sections and keys; the settings reference lists them too.
const (
	sectionInstance = "instance"
	sectionListen   = "listen"
	sectionPlatform = "platform"
	sectionEntries  = "entries"
	sectionLog      = "log"
	sectionTrace    = "trace"
	sectionSecurity = "security"
)

// Parse reads and checks the settings; the file's name is for faults only. The
// error is a *Faults.
func Parse(file string, data []byte) (Settings, error) {
	p := parser{file: file, used: make(map[string]bool)}
	options := ini.LoadOptions{Insensitive: false, AllowShadows: false}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		p.fault("", "", err.Error(), "INI: [section] lines and key = value lines")
		return Settings{}, &Faults{List: p.faults}
	}
	p.ini = parsed
	s := p.settings()
	p.rejectUnknown()
	if len(p.faults) > 0 {
		return s, &Faults{List: p.faults}
	}
	return s, nil
}

type parser struct {
	file   string
	ini    *ini.File
	used   map[string]bool
	faults []Fault
}

func (p *parser) settings() Settings {
	return Settings{
		Instance:      grid.InstanceID(p.name(sectionInstance, "id")),
		FailureDomain: grid.FailureDomain(p.name(sectionInstance, "failure_domain")),
		Callers:       p.address(sectionListen, "callers"),
		Peers:         p.address(sectionListen, "peers"),
		Operators:     p.address(sectionListen, "operators"),
		Platform:      p.addresses(sectionPlatform, "addresses", true),
		Seeds:         p.addresses(sectionPlatform, "peer_seeds", false),
		EntryTTL:      p.millis(sectionEntries, "ttl_ms", defaultTTL, minTTL, maxTTL),
		LogLevel:      p.oneOf(sectionLog, "level", "info", "debug", "info", "warn", "error"),
		TraceExporter: p.oneOf(sectionTrace, "exporter", "none", "none", "stdout", "otlp"),
		TraceAddress:  p.optionalAddress(sectionTrace, "address"),
		OperatorToken: p.text(sectionSecurity, "operator_token"),
		CallersTLS:    p.tls("callers"),
		PeersTLS:      p.tls("peers"),
		OperatorsTLS:  p.tls("operators"),
	}
}

func (p *parser) fault(section, key, value, allowed string) {
	p.faults = append(p.faults, Fault{p.file, section, key, value, allowed})
}

func (p *parser) text(section, key string) string {
	p.used[section+"/"+key] = true
	return strings.TrimSpace(p.ini.Section(section).Key(key).String())
}

func (p *parser) name(section, key string) string {
	value := p.text(section, key)
	if !grpreset.ValidName(value) {
		p.fault(section, key, value, "1 to 64 of a-z, 0-9, _ and -")
	}
	return value
}

const addressAllowed = "an IP address with a port, such as 127.0.0.1:7100"

func validAddress(value string) bool {
	a, err := netip.ParseAddrPort(value)
	return err == nil && a.Port() != 0
}

func (p *parser) address(section, key string) grid.Address {
	value := p.text(section, key)
	if !validAddress(value) {
		p.fault(section, key, value, addressAllowed)
	}
	return grid.Address(value)
}

func (p *parser) optionalAddress(section, key string) grid.Address {
	value := p.text(section, key)
	if value != "" && !validAddress(value) {
		p.fault(section, key, value, addressAllowed)
	}
	return grid.Address(value)
}

func (p *parser) addresses(section, key string, required bool) []grid.Address {
	value := p.text(section, key)
	var list []grid.Address
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if !validAddress(part) {
			p.fault(section, key, part, addressAllowed+", several apart by commas")
		}
		list = append(list, grid.Address(part))
	}
	if required && len(list) == 0 {
		p.fault(section, key, value, addressAllowed+", at least one")
	}
	return list
}

func (p *parser) millis(section, key string, fallback, low, high grclock.Millis) grclock.Millis {
	value := p.text(section, key)
	if value == "" {
		return fallback
	}
	n, err := p.ini.Section(section).Key(key).Int64()
	if err != nil || grclock.Millis(n) < low || grclock.Millis(n) > high {
		p.fault(section, key, value, fmt.Sprintf("%d to %d", low, high))
	}
	return grclock.Millis(n)
}

func (p *parser) oneOf(section, key, fallback string, words ...string) string {
	value := p.text(section, key)
	if value == "" {
		return fallback
	}
	for _, w := range words {
		if w == value {
			return value
		}
	}
	p.fault(section, key, value, strings.Join(words, ", "))
	return value
}

func (p *parser) tls(port string) TLS {
	t := TLS{
		Certificate: p.text(sectionSecurity, port+"_certificate"),
		Key:         p.text(sectionSecurity, port+"_key"),
		ClientCA:    p.text(sectionSecurity, port+"_client_ca"),
	}
	if t.On() && port != "callers" && t.ClientCA == "" {
		p.fault(sectionSecurity, port+"_client_ca", "", "a file; certificates are mutual on this port")
	}
	if (t.Certificate == "") != (t.Key == "") {
		p.fault(sectionSecurity, port+"_key", t.Key, "a file, together with "+port+"_certificate")
	}
	return t
}

func (p *parser) rejectUnknown() {
	for _, section := range p.ini.Sections() {
		for _, key := range section.Keys() {
			if !p.used[section.Name()+"/"+key.Name()] {
				p.fault(section.Name(), key.Name(), key.String(), "no such key")
			}
		}
	}
}
