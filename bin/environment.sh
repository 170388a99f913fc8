# Sourced by the scripts of this folder. Creates or updates the virtual environment if
# requirements.lock has changed, and sets `root`, `environment`, `python` and PYTHONPATH.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
environment="${MULBERRYGATE_VENV:-$root/.venv}"
python="$environment/bin/python"
stamp="$environment/.requirements"
if ! cmp -s "$root/requirements.lock" "$stamp"; then
    python3.11 -m venv "$environment" 2>/dev/null || python3 -m venv "$environment"
    "$python" -m pip install --quiet --disable-pip-version-check -r "$root/requirements.lock"
    cp "$root/requirements.lock" "$stamp"
fi
export PYTHONPATH="$root${PYTHONPATH:+:$PYTHONPATH}"
