import java.nio.file.Path;

/** Runs one case: the name of the case and its folder. */
final class Main {

	static final int HELD = 0;

	/** Another status than that of a virtual machine that cannot start. */
	static final int BROKEN = 10;

	static final int CANNOT_RUN = 20;

	private Main() {
	}

	public static void main(String[] arguments) {
		int status = CANNOT_RUN;
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Lab lab = new Lab(Path.of(arguments[1]), 2); Fleet fleet = new Fleet(lab)) {
			lab.log("case %s, with trouble: %s", arguments[0], trouble);
			lab.start();
			status = switch (arguments[0]) {
				case "returned-route" -> ReturnedRoute.run(lab, fleet, trouble);
				case "late-heartbeat" -> LateHeartbeat.run(lab, fleet, trouble);
				case "renamed-route" -> RenamedRoute.run(lab, fleet, trouble);
				case "foreign-heartbeat" -> ForeignHeartbeat.run(lab, fleet, trouble);
				case "grown-log" -> GrownLog.run(lab, fleet, trouble);
				default -> CANNOT_RUN;
			};
			lab.log("status %d", status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

}
