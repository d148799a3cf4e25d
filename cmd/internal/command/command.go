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

// IO is what a subcommand reads from and writes to.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set when Out is a terminal: only then are colours and
	// live progress written.
	Terminal bool
}

// Run is the body of a subcommand. It is called after the flags were parsed.
type Run func(ctx context.Context, io IO) error

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Declare adds the flags and positional values and returns the body, which
	// closes over them.
	Declare func(sub *flaggy.Subcommand) Run
}

// Program is the whole command line.
type Program struct {
	Name        string
	Description string
	Version     string
	Commands    []Command
}

// exitPanicPrefix starts the text that flaggy panics with in place of exiting.
const exitPanicPrefix = "Panic instead of exit with code: "

// Main parses args (without the program's name), runs the subcommand and
// returns the exit code.
func (p Program) Main(ctx context.Context, args []string, io IO) Code {
	if len(args) > 0 && args[0] == "--version" {
		fmt.Fprintln(io.Out, p.Name, p.Version)
		return OK
	}
	run, code := p.parse(args, io)
	if run == nil {
		return code
	}
	return report(io, run(ctx, io))
}

// parse returns the chosen body, or nil and the exit code when there is nothing
// to run.
func (p Program) parse(args []string, io IO) (run Run, code Code) {
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if r := recover(); r != nil {
			run, code = nil, exitCode(r)
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
		return nil, report(io, Failf(Usage, "see --help", "%v", err))
	}
	for sub, body := range bodies {
		if sub.Used {
			return body, OK
		}
	}
	parser.ShowHelp()
	return nil, Usage
}

// exitCode reads the code out of flaggy's panic; any other panic goes on.
func exitCode(r any) Code {
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

// report prints an error and its remedy and returns the exit code.
func report(io IO, err error) Code {
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
