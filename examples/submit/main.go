// Command submit sends one preview request to a gate and prints the response.
// GATE-URL is the caller address of the gate, KEY a key of the requesting team:
//
//	go run ./examples/submit http://127.0.0.1:7112 shop-tills-example-key
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

const preview = `{"kind":"preview","idempotent":true,"deadline_ms":5000,
	"cores":1,"memory_mb":64,"payload_text":"a tag for Rex"}`

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: submit GATE-URL KEY")
		os.Exit(2)
	}
	if err := submit(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "submit:", err)
		os.Exit(1)
	}
}

func submit(gate, key string) error {
	request, err := http.NewRequest(http.MethodPost, gate+"/v1/requests", strings.NewReader(preview))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
