// Package api holds the messages, records and settings of persimmonline,
// generated from the JSON Schemas in schema/ by "make generate".
package api
