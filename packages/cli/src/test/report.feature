Feature: what requests waited for is read from logs alone

  Scenario: waits, refusals, loads and who orders engines
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported
    Then it gives the waits by part, the cause of the refusal, the loads by origin and the engines by holder

  Scenario: a span of time
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load of the first second is reported
    Then it leaves out what came later

  Scenario: a page with plots
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported as a page
    Then it holds a bar for each end of a request and loads nothing from elsewhere

  Scenario: a request that several upstreams lose
    Given logs of two entries, in which 3 engines end under the attempts at one request, and each loses another one too
    When the load is reported
    Then it names that request alone, with its route, its adapter and the 3 engines

  Scenario: what organisations got
    Given logs in which "north" has one answer and two requests over its limit, and a withdrawn key is shown
    When the load is reported
    Then it gives each organisation's requests, and the digest of the key that opens nothing
