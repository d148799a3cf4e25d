package chart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// file is the JSON form of a chart.
type file struct {
	Name        string           `json:"name"`
	Doc         string           `json:"doc"`
	Initial     State            `json:"initial"`
	States      []fileState      `json:"states"`
	Events      []fileEvent      `json:"events"`
	Transitions []fileTransition `json:"transitions"`
}

type fileState struct {
	Name  State  `json:"name"`
	Doc   string `json:"doc"`
	Final bool   `json:"final,omitempty"`
}

type fileEvent struct {
	Name Event  `json:"name"`
	Doc  string `json:"doc"`
}

type fileTransition struct {
	From  []State `json:"from"`
	Event Event   `json:"event"`
	To    State   `json:"to"`
	// Guard names a bound guard; a leading "!" negates it.
	Guard   string   `json:"guard,omitempty"`
	Actions []string `json:"actions,omitempty"`
}

// guardName splits a guard into its name and whether it is negated.
func (t fileTransition) guardName() (name string, negated bool) {
	return strings.CutPrefix(t.Guard, "!")
}

// parse decodes a chart file and rejects unknown fields.
func parse(name string, source []byte) (*file, error) {
	dec := json.NewDecoder(bytes.NewReader(source))
	dec.DisallowUnknownFields()
	var f file
	if err := dec.Decode(&f); err != nil {
		return nil, &LoadError{File: name, Problems: []Problem{{
			Path:    fmt.Sprintf("byte %d", dec.InputOffset()),
			Message: err.Error(),
			Remedy:  "write the chart as one JSON object with the fields name, doc, initial, states, events and transitions",
		}}}
	}
	return &f, nil
}
