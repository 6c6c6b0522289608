# Shared by the launchers. Sourced, not run.
#
# A bare JVM with default flags and an HTTP server takes about 204 MB resident on a
# 10-core machine, mostly because of parallel collector threads and the second compiler
# tier; with the serial collector, a bounded heap and the first compiler tier 105 to
# 113 MB. At the end of two runs of ./demo, VmRSS was 126 to 131 MB for control members, 128 to
# 136 MB for entry hosts and 111 to 118 MB for the stand-ins.

burdock_home="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

# launch MAIN_CLASS HEAP_MEGABYTES ARGUMENT...
launch() {
	local main_class="$1" heap_megabytes="$2"
	shift 2
	if [ ! -d "$burdock_home/dist/lib" ]; then
		echo "$(basename "$0"): $burdock_home/dist/lib is missing; run: mvn -B -q -DskipTests package" >&2
		exit 1
	fi
	# Replaces the shell, so that the program gets the signals of its parent.
	# shellcheck disable=SC2086
	exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms8m \
		"-Xmx${BURDOCK_HEAP_MEGABYTES:-$heap_megabytes}m" -XX:MaxDirectMemorySize=32m -XX:-UsePerfData \
		-XX:+ExitOnOutOfMemoryError -Djava.util.logging.manager=io.burdockpin.runtime.log.StopSafeLogManager \
		${BURDOCK_JAVA_OPTIONS:-} \
		-cp "$burdock_home/dist/lib/*" "$main_class" "$@"
}
