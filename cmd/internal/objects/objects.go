// Package objects reads the object files that the client's commands get as arguments.
package objects

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/command"
)

// Stdin is the file name for standard input.
const Stdin = "-"

// Item is an object as read from a file, with the problems that can be found in it
// without other objects.
type Item struct {
	Source   string // file and position in it, for messages
	Raw      json.RawMessage
	Object   oas.Object // valid only if Problems is empty
	Problems check.Problems
}

// Read reads all objects of the files. For a directory it reads the .json files in it,
// and for Stdin it reads from in. The error is a *command.Error with code Usage.
func Read(files []string, in io.Reader) ([]Item, error) {
	if len(files) == 0 {
		return nil, command.Failf(command.Usage, "name a file, a directory or - for standard input with -f", "no file given")
	}
	var items []Item
	for _, file := range files {
		found, err := readPath(file, in)
		if err != nil {
			return nil, command.Failf(command.Usage, "name readable files with JSON objects", "%v", err)
		}
		items = append(items, found...)
	}
	if len(items) == 0 {
		return nil, command.Failf(command.Usage, "put JSON objects into it", "%v: no objects", files)
	}
	return items, nil
}

func readPath(path string, in io.Reader) ([]Item, error) {
	if path == Stdin {
		return readFrom("standard input", in)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return readDir(path)
	}
	return readFile(path)
}

func readDir(dir string) ([]Item, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var items []Item
	for _, name := range names {
		found, err := readFile(name)
		if err != nil {
			return nil, err
		}
		items = append(items, found...)
	}
	return items, nil
}

func readFile(name string) ([]Item, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readFrom(name, f)
}

func readFrom(source string, r io.Reader) ([]Item, error) {
	raws, err := check.Split(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	items := make([]Item, len(raws))
	for i, raw := range raws {
		items[i] = Item{Source: fmt.Sprintf("%s: object %d", source, i+1), Raw: raw}
		items[i].Object, items[i].Problems = check.Decode(raw)
	}
	return items, nil
}

// Duplicates returns a message for each object that occurs more than once among the
// items, because it is unknown which occurrence is intended.
func Duplicates(items []Item) []string {
	first := map[check.Ref]string{}
	var messages []string
	for _, item := range items {
		if len(item.Problems) > 0 {
			continue
		}
		ref := check.RefOf(item.Object)
		if other, exists := first[ref]; exists {
			messages = append(messages, fmt.Sprintf("%s: %s is also in %s", item.Source, ref, other))
			continue
		}
		first[ref] = item.Source
	}
	return messages
}
