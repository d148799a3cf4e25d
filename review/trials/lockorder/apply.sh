#!/bin/sh
# Replaces the mutexes of a scratch copy by those of this folder. Never run it on the checkout itself.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$1"
mkdir -p steering/lockorder
cp "$here/lockorder.go" steering/lockorder/
for f in $(grep -rl 'sync\.Mutex' --include='*.go' node/gateway node/telemetry platform steering | grep -v -e _test.go -e /lockorder/); do
	sed -i -e 's/sync\.Mutex/lockorder.Mutex/' -e 's/^import "sync"$/import "heatherlock\/steering\/lockorder"/' -e '0,/^import (/s//import (\n\t"heatherlock\/steering\/lockorder"/' "$f"
	grep -v '^	"sync"$' "$f" | grep -q 'sync\.[A-Z]' || sed -i '/^	"sync"$/d' "$f"
done
