package io.burdockpin.entry.worker;

import java.util.Base64;
import java.util.List;
import java.util.Optional;

import io.burdockpin.codec.json.WorkerAnnouncement;
import io.burdockpin.codec.json.WorkerAnnouncement.JobReportDocument;
import io.burdockpin.codec.json.WorkerAnnouncement.UsageDocument;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.codec.json.WorkerAnnouncementReply.JobOrderDocument;
import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.util.Checks;

/** Converts JSON documents of workers to core types and back, and validates them. */
public final class WorkerDocumentMapper {

	private static final int MAX_BOOT_ID_LENGTH = 128;

	private WorkerDocumentMapper() {
	}

	/**
	 * Validates an announcement and converts it to a report.
	 * @param announcement the decoded document
	 * @return the report for the leader
	 * @throws InvalidValueException if a value is missing or out of range
	 */
	public static WorkerReport report(WorkerAnnouncement announcement) {
		String bootId = required("bootId", announcement.bootId());
		Checks.range("length of bootId", bootId.length(), 1, MAX_BOOT_ID_LENGTH);
		Checks.range("sequence", announcement.sequence(), 0, Long.MAX_VALUE);
		List<JobReportDocument> jobs = (announcement.jobs() != null) ? announcement.jobs() : List.of();
		return new WorkerReport(new HostName(announcement.worker()), bootId, announcement.sequence(),
				resources(announcement.usage()), jobs.stream().map(WorkerDocumentMapper::jobReport).toList());
	}

	static WorkerAnnouncementReply reply(HostName entryHost, PendingOrders orders, Optional<String> attachTo) {
		return new WorkerAnnouncementReply(entryHost.value(), orders.sequence(), orders.leaseMillis(),
				orders.renewedJobs().stream().map(JobId::value).toList(),
				orders.orders().stream().map(WorkerDocumentMapper::document).toList(), attachTo);
	}

	private static JobReport jobReport(JobReportDocument document) {
		Checks.range("leaseEpoch", document.leaseEpoch(), 0, Long.MAX_VALUE);
		return new JobReport(new JobId(document.job()), document.leaseEpoch(), phase(document.phase()),
				resources(document.usage()), content(document.contentBase64()));
	}

	private static JobPhase phase(String name) {
		try {
			return JobPhase.valueOf(required("phase", name));
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidValueException("unknown phase \"%s\"".formatted(name));
		}
	}

	private static Resources resources(UsageDocument document) {
		return (document != null)
				? new Resources(document.cpuMillicores(), document.memoryMebibytes(), document.accelerators())
				: Resources.NONE;
	}

	private static Payload content(String base64) {
		if (base64 == null || base64.isEmpty()) {
			return Payload.EMPTY;
		}
		try {
			byte[] bytes = Base64.getDecoder().decode(base64);
			Checks.range("contentBytes", bytes.length, 0, JobSpec.MAX_PAYLOAD_BYTES);
			return Payload.of(bytes);
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidValueException("contentBase64 is not valid Base64");
		}
	}

	private static JobOrderDocument document(JobOrder order) {
		Resources resources = order.resources();
		return new JobOrderDocument(order.job().value(), order.leaseEpoch(), order.kind().name(),
				new UsageDocument(resources.cpuMillicores(), resources.memoryMebibytes(), resources.accelerators()),
				order.runMillis(), order.repeatable(), base64(order.content()), base64(order.checkpoint()),
				order.throttlePercent());
	}

	private static String base64(Payload payload) {
		return Base64.getEncoder().encodeToString(payload.bytes());
	}

	private static String required(String name, String value) {
		if (value == null) {
			throw new InvalidValueException(name + " is missing");
		}
		return value;
	}

}
