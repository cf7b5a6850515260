Feature: a booking runs at most once, and "not run" is true

  Scenario: a booking whose reply is lost
    Symptom: the caller is told to try again, and two chairs are booked.
    Events: the sidecar passes the booking on, the service books, and the connection breaks before the reply.
    Cause: the entry treats a broken connection as proof that the request did not run.
    Given a system with 2 booking services and 1 entry
    And the booking services lose their next 1 replies
    When a booking "one" is sent
    Then the caller gets "may-have-run" with status 502 and code "upstream-lost"
    And booking "one" ran 1 time

  Scenario: a repeat by idempotency key after a lost reply
    Given a system with 2 booking services and 2 entries
    And the booking services lose their next 1 replies
    When a booking "one" is sent with its idempotency key through entry 0
    And a booking "one" is sent with its idempotency key through entry 1
    Then the caller gets "may-have-run" with status 502 and code "first-attempt-unknown"
    And booking "one" ran 1 time

  Scenario: a repeat by idempotency key through another entry gets the first answer
    Given a system with 2 booking services and 2 entries
    When a booking "one" is sent with its idempotency key through entry 0
    And a booking "one" is sent with its idempotency key through entry 1
    Then the last answer repeats the first one
    And booking "one" ran 1 time

  Scenario: repeats by idempotency key while the first attempt runs
    Symptom: a chair is booked twice for an impatient caller.
    Events: three requests with the same key arrive at once through two entries.
    Cause: the second arrives before the first is recorded.
    Given a system with 2 booking services and 2 entries
    And the booking services take 300 ms
    When a booking "one" is sent 3 times at once with its idempotency key
    Then every answer confirms the booking or says that it may have run
    And booking "one" ran 1 time

  Scenario: the sidecar that ran a booking fails and the repeat reaches another one
    Symptom: a chair is booked a second time after a host was replaced.
    Events: a booking runs through one sidecar, that sidecar fails, and the caller repeats.
    Cause: only the failed process knew which bookings had run.
    Given a system with 2 booking services and 2 entries
    When a booking "one" is sent with its idempotency key through entry 0
    And the sidecar that ran it fails
    And a booking "one" is sent with its idempotency key through entry 1
    Then the last answer repeats the first one
    And booking "one" ran 1 time

  Scenario: the sidecar restarts while the booking runs
    Symptom: a caller gets "not run", but the chair is booked.
    Events: the sidecar fails after it passed the booking on; a new one accepts the entry's channel.
    Cause: a new sidecar without a record of the request is treated as proof that it did not run.
    Given a system with 1 booking service and 1 entry
    And the booking services take 400 ms
    When a booking "one" is running and its sidecar fails
    Then the caller gets "may-have-run" with status 502 and code "channel-lost"
    And booking "one" ran 1 time

  Scenario: the channel breaks while the booking runs
    Given a system with 1 booking service and 1 entry
    And the booking services take 300 ms
    When a booking "one" is running and its channel breaks
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: the deadline passes while the booking runs
    Given a system with 1 booking service and 1 entry
    And the booking services take 400 ms
    When a booking "one" is sent with a deadline of 100 ms
    Then the caller gets "may-have-run" with status 504 and code "deadline"
    And booking "one" runs once after all

  Scenario: the deadline passes while the booking waits
    Symptom: a caller gives up and books elsewhere, and the first booking runs as well.
    Events: all batch slots are taken, the deadline passes in the queue, and a slot becomes free.
    Cause: the entry decides by its own clock instead of the sidecar's answer.
    Given a system with 1 booking service and 1 entry
    And the booking services take 600 ms
    When all batch slots are taken by other bookings
    And a booking "late" is sent with a deadline of 150 ms
    Then the last answer says that it did not run
    And booking "late" has not run when all others have

  Scenario: the key-value service is down
    Symptom: bookings run twice during an outage, or are lost without an error.
    Events: the service that records keys can't be reached.
    Cause: a key that can't be looked up is treated as unused.
    Given a system with 2 booking services and 1 entry
    And the key-value service is down
    When a booking "keyed" is sent with its idempotency key through entry 0
    Then the caller gets "not-run" with status 503 and code "claims-unavailable"
    And booking "keyed" ran 0 times
    When a booking "plain" is sent
    Then the booking is confirmed
    When the key-value service is back
    And a booking "keyed" is repeated after its retry-after
    Then the booking is confirmed
    And booking "keyed" ran 1 time

  Scenario: calls of the key-value service hang
    Symptom: every booking takes seconds longer during an outage.
    Events: the service accepts connections and never answers.
    Cause: each call waits for its own timeout.
    Given a system with 2 booking services and 1 entry
    And calls of the key-value service hang
    When a booking "one" is sent with its idempotency key through entry 0
    And a booking "two" is sent with its idempotency key through entry 0
    And a booking "three" is sent with its idempotency key through entry 0
    Then the caller gets "not-run" with status 503 and code "claims-unavailable"
    And the answer came within 400 ms

  Scenario: the key-value service loses replies to writes
    Given a system with 2 booking services and 1 entry
    And the key-value service loses the next 3 replies to writes
    When a booking "one" is sent with its idempotency key through entry 0
    And a booking "one" is sent with its idempotency key through entry 0
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: the key-value service is slow
    Given a system with 2 booking services and 1 entry
    And the key-value service takes 200 ms
    When a booking "one" is sent with its idempotency key through entry 0
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: an entry fails and the caller repeats through another
    Given a system with 2 booking services and 2 entries
    And the booking services take 300 ms
    When a booking "one" is running and its entry fails
    And a booking "one" is sent with its idempotency key through entry 1
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: an idempotency key used for another call
    Given a system with 1 booking service and 1 entry
    When a booking "one" is sent with its idempotency key through entry 0
    And a booking "two" is sent with the idempotency key "one"
    Then the caller gets "not-run" with status 422 and code "key-in-use"
    And booking "two" ran 0 times

  Scenario: sidecars that have stopped
    Guards against sidecars that go on calling the key-value service after they have stopped.
    Given a system with 2 booking services and 1 entry
    And the key-value service is down
    When a booking "one" is sent with its idempotency key through entry 0
    And all entries and sidecars stop
    And the key-value service is back
    Then it gets no call for 1500 ms
