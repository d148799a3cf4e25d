package command

import (
	"encoding/json"
	"os"
)

// reportPermissions of a report's file.
const reportPermissions = 0o644

// WriteReport writes a report to the file that --json names, as one JSON
// object. An empty name writes nothing. A file that cannot be written is a
// Usage failure.
func WriteReport(file string, report any) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Failf(Other, "report this as a fault of the program", "encode the report: %v", err)
	}
	if err := os.WriteFile(file, append(raw, '\n'), reportPermissions); err != nil {
		return Failf(Usage, "name a file that can be written", "--json: %v", err)
	}
	return nil
}
