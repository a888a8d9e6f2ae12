package io.verbenatrack.state.claims;

import java.time.Instant;

import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimState}.
 */
public class ClaimStateTests {

	private static final Instant EXPIRY = Instant.ofEpochSecond(1_000);

	private static final RequestId REQUEST = new RequestId("r1");

	private static final AccountId ACCOUNT = new AccountId("vans");

	private ClaimState state;

	@BeforeMethod
	void createState() {
		this.state = new ClaimState(2, 100);
	}

	private ClaimReply claim(String request, String digest, String attempt) {
		return ClaimCodec.reply(this.state.apply(ClaimCodec.claim(new RequestId(request), ACCOUNT, digest,
				new InstanceId("entry-1"), new AttemptId(attempt), EXPIRY)));
	}

	private ClaimReply keepAnswer(String attempt, String answer) {
		return ClaimCodec.reply(
				this.state.apply(ClaimCodec.keepAnswer(REQUEST, ACCOUNT, new AttemptId(attempt), answer.getBytes())));
	}

	private ClaimReply release(String attempt) {
		return ClaimCodec.reply(this.state.apply(ClaimCodec.release(REQUEST, ACCOUNT, new AttemptId(attempt))));
	}

	@Test
	public void onlyTheFirstAttemptIsGranted() {
		assertThat(claim("r1", "d", "a1")).isEqualTo(new ClaimReply.Granted());
		assertThat(claim("r1", "d", "a2"))
			.isEqualTo(new ClaimReply.AlreadyRunning(new InstanceId("entry-1"), new AttemptId("a1")));
	}

	@Test
	public void repeatedClaimIsGrantedAgain() {
		claim("r1", "d", "a1");
		assertThat(claim("r1", "d", "a1")).isEqualTo(new ClaimReply.Granted());
		assertThat(this.state.size()).isEqualTo(1);
	}

	@Test
	public void storedAnswerIsReturnedToRetriesAndNeverReplaced() {
		claim("r1", "d", "a1");
		assertThat(keepAnswer("a1", "first")).isEqualTo(new ClaimReply.Done());
		assertThat(keepAnswer("a1", "second")).isEqualTo(new ClaimReply.Done());
		assertThat(claim("r1", "d", "a2")).isEqualTo(new ClaimReply.Kept(ByteString.copyFromUtf8("first")));
		assertThat(release("a1")).isInstanceOf(ClaimReply.Kept.class);
	}

	@Test
	public void answerOfAnotherAttemptIsNotStored() {
		claim("r1", "d", "a1");
		assertThat(keepAnswer("a2", "late")).isInstanceOf(ClaimReply.AlreadyRunning.class);
		assertThat(claim("r1", "d", "a3")).isInstanceOf(ClaimReply.AlreadyRunning.class);
	}

	@Test
	public void requestIdReusedForAnotherBodyIsRejected() {
		claim("r1", "d", "a1");
		assertThat(claim("r1", "other", "a2")).isEqualTo(new ClaimReply.DifferentRequest());
	}

	@Test
	public void releasedClaimIsGrantedToTheNextAttempt() {
		claim("r1", "d", "a1");
		assertThat(release("a2")).isInstanceOf(ClaimReply.AlreadyRunning.class);
		assertThat(release("a1")).isEqualTo(new ClaimReply.Done());
		assertThat(release("a1")).isEqualTo(new ClaimReply.NoSuchClaim());
		assertThat(claim("r1", "d", "a2")).isEqualTo(new ClaimReply.Granted());
	}

	@Test
	public void claimsOverTheLimitAreRejectedAndExistingClaimsKept() {
		claim("r1", "d", "a1");
		claim("r2", "d", "a2");
		assertThat(claim("r3", "d", "a3")).isEqualTo(new ClaimReply.TooManyClaims());
		assertThat(this.state.size()).isEqualTo(2);
	}

	@Test
	public void expiresOnlyClaimsThatAreDue() {
		claim("r1", "d", "a1");
		assertThat(ClaimCodec.reply(this.state.apply(ClaimCodec.expire(EXPIRY.minusMillis(1)))))
			.isEqualTo(new ClaimReply.Expired(0));
		assertThat(ClaimCodec.reply(this.state.apply(ClaimCodec.expire(EXPIRY)))).isEqualTo(new ClaimReply.Expired(1));
		assertThat(claim("r1", "d", "a2")).isEqualTo(new ClaimReply.Granted());
	}

	@Test
	public void restoredStateDecidesTheSame() {
		claim("r1", "d", "a1");
		keepAnswer("a1", "first");
		ClaimState restored = new ClaimState(2, 100);
		restored.restore(this.state.snapshot());
		this.state = restored;
		assertThat(claim("r1", "d", "a2")).isEqualTo(new ClaimReply.Kept(ByteString.copyFromUtf8("first")));
	}

}
