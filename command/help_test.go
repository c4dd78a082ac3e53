package command

import (
	"testing"

	"github.com/alecthomas/kong"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/gateway"
)

// Guards against flags, arguments and commands without a help text.
func TestEverythingHasHelp(t *testing.T) {
	for name, target := range map[string]any{
		"waxwingctl": &ctlSettings{}, "waxwing-dev": &devSettings{},
		"waxwing-gateway": &gateway.Settings{}, "waxwing-controller": &controller.Settings{},
	} {
		parser, err := kong.New(target, kong.Name(name))
		if err != nil {
			t.Fatal(err)
		}
		checkHelp(t, parser.Model.Node, name)
	}
}

func checkHelp(t *testing.T, node *kong.Node, path string) {
	t.Helper()
	for _, flag := range node.Flags {
		if flag.Help == "" {
			t.Errorf("%s: flag --%s has no help", path, flag.Name)
		}
	}
	for _, argument := range node.Positional {
		if argument.Help == "" {
			t.Errorf("%s: argument <%s> has no help", path, argument.Name)
		}
	}
	for _, child := range node.Children {
		if child.Help == "" {
			t.Errorf("%s: command %s has no help", path, child.Name)
		}
		checkHelp(t, child, path+" "+child.Name)
	}
}
