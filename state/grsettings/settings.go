// Package grsettings parses and validates a daemon's INI settings file. It reports every
// invalid setting, not only the first.
//
//	settings, err := grsettings.Parse("entry.ini", data)
//	var invalid *grsettings.SettingErrors
//	if errors.As(err, &invalid) { ... }
package grsettings

import (
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// TLSFiles holds the paths of one listener's certificate files. TLS is off if Certificate is
// empty. If ClientCA is set, clients must present a certificate signed by that authority.
type TLSFiles struct{ Certificate, Key, ClientCA string }

// Enabled reports whether TLS is enabled.
func (t TLSFiles) Enabled() bool { return t.Certificate != "" }

// Settings is the start-up configuration of one daemon.
type Settings struct {
	Instance          grident.InstanceID
	FailureDomain     grident.FailureDomain
	CallerAddress     grident.Address   // listen address for callers
	PeerAddress       grident.Address   // listen address for other instances
	OperatorAddress   grident.Address   // listen address for operators
	PlatformAddresses []grident.Address // addresses of the platform's object API
	PeerSeeds         []grident.Address // peers contacted at start-up
	EntryListTTL      grclock.Millis    // how long callers may cache the list of entry instances
	LogLevel          string
	TraceExporter     string
	TraceAddress      grident.Address
	OperatorToken     string
	CallersTLS        TLSFiles
	PeersTLS          TLSFiles
	OperatorsTLS      TLSFiles
}

// SettingError is the error for one invalid setting.
type SettingError struct{ File, Section, Key, Value, Allowed string }

// Error returns the position, the value and the allowed values of the setting.
func (e SettingError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// SettingErrors is the error that holds every invalid setting of a file.
type SettingErrors struct{ List []SettingError }

// Error returns one line for each invalid setting.
func (e *SettingErrors) Error() string {
	lines := make([]string, len(e.List))
	for i, settingError := range e.List {
		lines[i] = settingError.Error()
	}
	return strings.Join(lines, "\n")
}

// Bounds and defaults of the settings.
const (
	defaultTTL = 2 * grclock.Second
	minTTL     = 200 * grclock.Millisecond
	maxTTL     = grclock.Minute
)

// Section names; the settings reference in the documentation lists them as well.
const (
	sectionInstance = "instance"
	sectionListen   = "listen"
	sectionPlatform = "platform"
	sectionEntries  = "entries"
	sectionLog      = "log"
	sectionTrace    = "trace"
	sectionSecurity = "security"
)

// Parse parses and validates settings. The file name is used in errors only. The error is
// a *SettingErrors.
func Parse(file string, data []byte) (Settings, error) {
	p := parser{file: file, knownKeys: make(map[string]bool)}
	options := ini.LoadOptions{Insensitive: false, AllowShadows: false}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		p.addError("", "", err.Error(), "INI: [section] lines and key = value lines")
		return Settings{}, &SettingErrors{List: p.errs}
	}
	p.ini = parsed
	s := p.settings()
	p.rejectUnknown()
	if len(p.errs) > 0 {
		return s, &SettingErrors{List: p.errs}
	}
	return s, nil
}

type parser struct {
	file      string
	ini       *ini.File
	knownKeys map[string]bool
	errs      []SettingError
}

func (p *parser) settings() Settings {
	return Settings{
		Instance:          grident.InstanceID(p.name(sectionInstance, "id")),
		FailureDomain:     grident.FailureDomain(p.name(sectionInstance, "failure_domain")),
		CallerAddress:     p.address(sectionListen, "callers"),
		PeerAddress:       p.address(sectionListen, "peers"),
		OperatorAddress:   p.address(sectionListen, "operators"),
		PlatformAddresses: p.addresses(sectionPlatform, "addresses", true),
		PeerSeeds:         p.addresses(sectionPlatform, "peer_seeds", false),
		EntryListTTL:      p.millis(sectionEntries, "ttl_ms", defaultTTL, minTTL, maxTTL),
		LogLevel:          p.oneOf(sectionLog, "level", "info", "debug", "info", "warn", "error"),
		TraceExporter:     p.oneOf(sectionTrace, "exporter", "none", "none", "stdout", "otlp"),
		TraceAddress:      p.optionalAddress(sectionTrace, "address"),
		OperatorToken:     p.text(sectionSecurity, "operator_token"),
		CallersTLS:        p.tls("callers"),
		PeersTLS:          p.tls("peers"),
		OperatorsTLS:      p.tls("operators"),
	}
}

func (p *parser) addError(section, key, value, allowed string) {
	p.errs = append(p.errs, SettingError{p.file, section, key, value, allowed})
}

func (p *parser) text(section, key string) string {
	p.knownKeys[section+"/"+key] = true
	return strings.TrimSpace(p.ini.Section(section).Key(key).String())
}

func (p *parser) name(section, key string) string {
	value := p.text(section, key)
	if !grpreset.ValidName(value) {
		p.addError(section, key, value, "1 to 64 of a-z, 0-9, _ and -")
	}
	return value
}

const addressAllowed = "an IP address with a port, such as 127.0.0.1:7100"

func validAddress(value string) bool {
	a, err := netip.ParseAddrPort(value)
	return err == nil && a.Port() != 0
}

func (p *parser) address(section, key string) grident.Address {
	value := p.text(section, key)
	if !validAddress(value) {
		p.addError(section, key, value, addressAllowed)
	}
	return grident.Address(value)
}

func (p *parser) optionalAddress(section, key string) grident.Address {
	value := p.text(section, key)
	if value != "" && !validAddress(value) {
		p.addError(section, key, value, addressAllowed)
	}
	return grident.Address(value)
}

func (p *parser) addresses(section, key string, required bool) []grident.Address {
	value := p.text(section, key)
	var list []grident.Address
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if !validAddress(part) {
			p.addError(section, key, part, addressAllowed+", several apart by commas")
		}
		list = append(list, grident.Address(part))
	}
	if required && len(list) == 0 {
		p.addError(section, key, value, addressAllowed+", at least one")
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
		p.addError(section, key, value, fmt.Sprintf("%d to %d", low, high))
	}
	return grclock.Millis(n)
}

func (p *parser) oneOf(section, key, fallback string, allowed ...string) string {
	value := p.text(section, key)
	if value == "" {
		return fallback
	}
	for _, w := range allowed {
		if w == value {
			return value
		}
	}
	p.addError(section, key, value, strings.Join(allowed, ", "))
	return value
}

func (p *parser) tls(listener string) TLSFiles {
	t := TLSFiles{
		Certificate: p.text(sectionSecurity, listener+"_certificate"),
		Key:         p.text(sectionSecurity, listener+"_key"),
		ClientCA:    p.text(sectionSecurity, listener+"_client_ca"),
	}
	if t.Enabled() && listener != "callers" && t.ClientCA == "" {
		p.addError(sectionSecurity, listener+"_client_ca", "", "a file; certificates are mutual on this port")
	}
	if (t.Certificate == "") != (t.Key == "") {
		p.addError(sectionSecurity, listener+"_key", t.Key, "a file, together with "+listener+"_certificate")
	}
	return t
}

func (p *parser) rejectUnknown() {
	for _, section := range p.ini.Sections() {
		for _, key := range section.Keys() {
			if !p.knownKeys[section.Name()+"/"+key.Name()] {
				p.addError(section.Name(), key.Name(), key.String(), "no such key")
			}
		}
	}
}
