package command

import (
	"encoding/json"
	"os"
)

const reportFileMode = 0o644

// WriteReport writes report as a JSON object to the file given with --json. It writes
// nothing if the name is empty. If the file cannot be written, the error has the code
// Usage.
func WriteReport(file string, report any) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Failf(Other, "report this as a fault of the program", "encode the report: %v", err)
	}
	if err := os.WriteFile(file, append(raw, '\n'), reportFileMode); err != nil {
		return Failf(Usage, "name a file that can be written", "--json: %v", err)
	}
	return nil
}
