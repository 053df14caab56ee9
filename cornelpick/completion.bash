# Completion of cornelpick for bash.  Commands and options come from
# "cornelpick help", so that they are those of the installed version.
_cornelpick()
{
	local current=${COMP_WORDS[COMP_CWORD]}
	local usage words

	COMPREPLY=()
	usage=$("${COMP_WORDS[0]}" help 2>/dev/null) || return 0
	if ((COMP_CWORD == 1)); then
		words=$(awk '/^  / { print $1 }' <<<"$usage")
	elif [[ $current == -* ]]; then
		words=$(awk -v name="${COMP_WORDS[1]}" '$1 == name' <<<"$usage" |
			grep -o -e '--[a-z][a-z-]*')
	else
		mapfile -t COMPREPLY < <(compgen -f -- "$current")
		return 0
	fi
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
}
complete -o filenames -F _cornelpick cornelpick
