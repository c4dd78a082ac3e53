// Package settings defines validated flag types and the flags that the programs
// share. Every flag can also be set by an environment variable. A validation error
// names the flag, its value and the accepted range.
package settings

import (
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// environmentPrefix is the prefix of all environment variables for flags.
const environmentPrefix = "WAXWING"

// Parse fills the struct that target points to from arguments and environment
// variables.
func Parse(program, description string, args []string, target any, stdout, stderr io.Writer) (*kong.Context, error) {
	parser, err := kong.New(target,
		kong.Name(program), kong.Description(description),
		kong.DefaultEnvars(environmentPrefix),
		kong.Writers(stdout, stderr),
		kong.UsageOnError())
	if err != nil {
		return nil, errors.Newf("flags of %s: %w", program, err)
	}
	return parser.Parse(args)
}

// Address is an ip:port. For a listen address, port 0 selects a free port.
type Address string

// Validate returns an error if the address is not ip:port.
func (a Address) Validate() error {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return errors.Newf("%q is not an address of the form ip:port with a port from 0 to 65535", string(a))
	}
	return nil
}

// UnmarshalText parses and validates an address. Unlike Validate, kong also calls
// it for environment variables and for the elements of lists.
func (a *Address) UnmarshalText(text []byte) error {
	*a = Address(text)
	return a.Validate()
}

// BaseURL is an http or https URL without a query.
type BaseURL string

// Validate returns an error if the URL is not an absolute http or https URL.
func (u BaseURL) Validate() error {
	parsed, err := url.Parse(string(u))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" || parsed.RawQuery != "" {
		return errors.Newf("%q is not a URL of the form http://host:port", string(u))
	}
	return nil
}

// UnmarshalText parses a URL; see Address.UnmarshalText.
func (u *BaseURL) UnmarshalText(text []byte) error {
	*u = BaseURL(text)
	return u.Validate()
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// Name is the name of a site, availability zone, pool or tenant.
type Name string

// Validate returns an error if the name is empty, too long or contains other
// characters than NameFormat allows.
func (n Name) Validate() error {
	if !namePattern.MatchString(string(n)) {
		return errors.Newf("%q is not %s", string(n), NameFormat)
	}
	return nil
}

// UnmarshalText parses a name; see Address.UnmarshalText.
func (n *Name) UnmarshalText(text []byte) error {
	*n = Name(text)
	return n.Validate()
}

// NameFormat describes the format of a valid name in error messages.
const NameFormat = "a name of 1 to 32 characters a-z, 0-9 and -, starting with a letter or digit"

// ValidName reports whether the text is a valid name.
func ValidName(text string) bool { return namePattern.MatchString(text) }

// Range of ShutdownTimeout.
const (
	MinShutdownTimeout = time.Second
	MaxShutdownTimeout = 10 * time.Minute
)

// ShutdownTimeout is the longest time that a graceful shutdown may take.
type ShutdownTimeout time.Duration

// UnmarshalText parses a duration and checks its range.
func (d *ShutdownTimeout) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < MinShutdownTimeout || value > MaxShutdownTimeout {
		return errors.Newf("%q is not a duration from %v to %v", text, MinShutdownTimeout, MaxShutdownTimeout)
	}
	*d = ShutdownTimeout(value)
	return nil
}

// Process holds the flags that gateways and controllers share.
type Process struct {
	Site             Name            `required:"" help:"Name of the site, 1-32 characters a-z, 0-9 and -."`
	AvailabilityZone Name            `required:"" help:"Availability zone of this process."`
	Store            []BaseURL       `required:"" help:"Base URLs of the platform's key-value store."`
	Platform         BaseURL         `required:"" help:"Base URL of the platform's VM and task interface."`
	ListenPeers      Address         `default:"127.0.0.1:0" help:"ip:port for peers."`
	AdvertisePeers   Address         `optional:"" help:"ip:port at which peers reach this process, if it differs from --listen-peers (address translation)."`
	ListenAdmin      Address         `default:"127.0.0.1:0" help:"ip:port for /healthz, /readyz and /metrics."`
	Peers            []Address       `help:"Peer addresses to contact first."`
	ShutdownTimeout  ShutdownTimeout `default:"30s" help:"Longest graceful shutdown, 1s to 10m."`
	LogLevel         string          `enum:"debug,info,warn,error" default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// Level returns the log level.
func (p *Process) Level() log.Level { return log.ParseLevel(p.LogLevel) }

// Range of TrafficShards.
const (
	MinTrafficShards = 1
	MaxTrafficShards = 64
)

// TrafficShards is the number of traffic goroutines of a gateway.
type TrafficShards int

// Validate returns an error if the number is out of range.
func (n TrafficShards) Validate() error {
	if n < MinTrafficShards || n > MaxTrafficShards {
		return errors.Newf("%d is not a number from %d to %d", int(n), MinTrafficShards, MaxTrafficShards)
	}
	return nil
}

// UnmarshalText parses a number; see Address.UnmarshalText.
func (n *TrafficShards) UnmarshalText(text []byte) error {
	value, err := strconv.Atoi(string(text))
	if err != nil {
		return errors.Newf("%q is not a number from %d to %d", text, MinTrafficShards, MaxTrafficShards)
	}
	*n = TrafficShards(value)
	return n.Validate()
}

// AddressStrings converts addresses to strings.
func AddressStrings(addresses []Address) []string {
	texts := make([]string, len(addresses))
	for i, address := range addresses {
		texts[i] = string(address)
	}
	return texts
}
