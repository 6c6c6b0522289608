package io.burdockpin.codec.json;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;

/**
 * Creates the JSON mapper for core types. Names are written as strings, payloads in
 * Base64, and values of a sealed interface with their type name in the field
 * {@code type}.
 */
final class CoreJsonMapper {

	private static final List<Class<?>> SEALED_TYPES = List.of(Command.class, CommandResult.class, Query.class,
			QueryResult.class, OperatorRequest.class, OperatorReply.class);

	private CoreJsonMapper() {
	}

	static ObjectMapper create() {
		JsonMapper.Builder builder = JsonMapper.builder()
			.addModule(new Jdk8Module())
			.addModule(names())
			.serializationInclusion(JsonInclude.Include.NON_ABSENT)
			.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
			.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
			.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
			.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
		for (Class<?> sealed : SEALED_TYPES) {
			builder.addMixIn(sealed, TypeFieldMixIn.class);
			registerRecords(builder, sealed);
		}
		return builder.build();
	}

	private static void registerRecords(JsonMapper.Builder builder, Class<?> sealed) {
		for (Class<?> type : sealed.getPermittedSubclasses()) {
			if (type.isSealed()) {
				registerRecords(builder, type);
			}
			else {
				builder.registerSubtypes(new NamedType(type, typeName(type)));
			}
		}
	}

	private static String typeName(Class<?> type) {
		String name = type.getSimpleName();
		return Character.toLowerCase(name.charAt(0)) + name.substring(1);
	}

	private static SimpleModule names() {
		SimpleModule module = new SimpleModule("burdockpin-core");
		TextValue.register(module, CampaignName.class, CampaignName::value, CampaignName::new);
		TextValue.register(module, DataCentre.class, DataCentre::value, DataCentre::new);
		TextValue.register(module, HostName.class, HostName::value, HostName::new);
		TextValue.register(module, JobId.class, JobId::value, JobId::new);
		TextValue.register(module, KeyHash.class, KeyHash::hex, KeyHash::new);
		TextValue.register(module, PoolName.class, PoolName::value, PoolName::new);
		TextValue.register(module, QueueName.class, QueueName::value, QueueName::new);
		TextValue.register(module, Rack.class, Rack::value, Rack::new);
		TextValue.register(module, RequestId.class, RequestId::value, RequestId::new);
		TextValue.register(module, TeamName.class, TeamName::value, TeamName::new);
		TextValue.register(module, Payload.class, TextValue::toBase64, TextValue::fromBase64);
		return module;
	}

	/** Mix-in that adds the field {@code type} with the name of the permitted type. */
	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	private interface TypeFieldMixIn {

	}

}
