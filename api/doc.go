// Package api embeds the schema of the resource API. The generated server and
// client are in package oas, the checks of objects in package check.
package api

import _ "embed"

// OpenAPI is the schema as written in openapi.yaml.
//
//go:embed openapi.yaml
var OpenAPI []byte
