package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// IO holds the streams of a subcommand.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set if Out is a terminal. Colors and live progress are written
	// only then.
	Terminal bool
}

// Run is the body of a subcommand. It is called after the flags have been parsed.
type Run func(ctx context.Context, io IO) error

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Declare adds the flags and positional arguments to sub and returns the body,
	// which reads their values.
	Declare func(sub *flaggy.Subcommand) Run
}

// Program is a command line with subcommands.
type Program struct {
	Name        string
	Description string
	Version     string
	Commands    []Command
}

// exitPanicPrefix is the prefix of the text with which flaggy panics instead of exiting.
const exitPanicPrefix = "Panic instead of exit with code: "

// Main parses args (without the program's name), runs the subcommand and
// returns the exit code.
func (p Program) Main(ctx context.Context, args []string, io IO) Code {
	if len(args) > 0 && args[0] == "--version" {
		fmt.Fprintln(io.Out, p.Name, p.Version)
		return OK
	}
	body, code := p.parse(args, io)
	if body == nil {
		return code
	}
	return printError(io, body(ctx, io))
}

// parse returns the body of the chosen subcommand, or nil and the exit code if there is
// nothing to run.
func (p Program) parse(args []string, io IO) (run Run, code Code) {
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if r := recover(); r != nil {
			run, code = nil, panicExitCode(r)
		}
	}()
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	bodies := make(map[*flaggy.Subcommand]Run, len(p.Commands))
	for _, c := range p.Commands {
		sub := flaggy.NewSubcommand(c.Name)
		sub.Description = c.Summary
		bodies[sub] = c.Declare(sub)
		parser.AttachSubcommand(sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, printError(io, Failf(Usage, "see --help", "%v", err))
	}
	for sub, body := range bodies {
		if sub.Used {
			return body, OK
		}
	}
	parser.ShowHelp()
	return nil, Usage
}

// panicExitCode returns the exit code in the text of flaggy's panic. It panics again with any
// other value.
func panicExitCode(r any) Code {
	text, ok := r.(string)
	if !ok || !strings.HasPrefix(text, exitPanicPrefix) {
		panic(r)
	}
	n, err := strconv.Atoi(strings.TrimPrefix(text, exitPanicPrefix))
	if err != nil {
		panic(r)
	}
	return Code(n)
}

// printError prints an error and its remedy and returns the exit code.
func printError(io IO, err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		if e.Message != "" {
			fmt.Fprintln(io.Err, "heatherlock:", e.Message)
		}
		if e.Remedy != "" {
			fmt.Fprintln(io.Err, "remedy:", e.Remedy)
		}
		return e.Code
	}
	fmt.Fprintln(io.Err, "heatherlock:", err)
	return CodeOf(err)
}
