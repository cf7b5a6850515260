Feature: requests that can't get an adapter slot in their time

  Scenario: no queue advances in time
    Guards against a caller who waits for all of its time although each holder knows that no adapter slot becomes free for it.
    Given 5 engines whose holders predict waits of 9000 8000 7000 9000 and 9500 ms
    When a request with 2500 ms left is placed
    Then it is refused within 100 ms, with a retry-after of 7000 to 9100 ms, and each engine was asked once

  Scenario: an engine that is tried only when the queues are too long
    Guards against a refusal while an adapter slot is free.
    Given 5 engines whose holders predict waits of 9000 8000 7000 9000 and 0 ms
    When a request with 2500 ms left is placed
    Then it is placed at the last of them

  Scenario: one holder can't predict
    Guards against a refusal that is not certain.
    Given 3 engines whose holders predict waits of 9000 8000 and unknown ms
    When a request with 2500 ms left is placed
    Then it is refused after 2400 ms or more
