//! Parsing of settings files. Operators write these files by hand, so any text may arrive. The
//! tests guard against a panic of the parser, and against errors without the place and the allowed
//! values.

use hooktrestled::settings;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const GOOD: &str = "[instance]\nname = a\nrole = gateway\ndata_centre = d\nlisten = 127.0.0.1:0\n\
                    [platform]\ntable_url = x\nobject_url = x\ninstances_url = x\n\
                    [links]\nkeys = k\n";

fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases: 500, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn arbitrary_text_is_refused_with_the_file_name(text in any::<String>()) {
        let read = settings::parse("some.ini", &text);
        prop_assert!(read.is_err_and(|error| error.to_string().starts_with("some.ini")));
    }

    #[test]
    fn errors_about_an_added_settings_line_name_the_file(key in "[a-z_]{1,12}", value in "[ -~]{0,12}") {
        let text = format!("{GOOD}{key} = {value}\n");
        if let Err(error) = settings::parse("some.ini", &text) {
            prop_assert!(error.to_string().contains("some.ini"), "{error}");
        }
    }
}

#[test]
fn missing_settings_get_defaults_and_invalid_ones_descriptive_errors() {
    let good = settings::parse("a.ini", GOOD).unwrap();
    assert_eq!(good.platform.poll_ms, 1_500);
    let cases = [
        (
            "role = gateway",
            "role = router",
            "a.ini:3: [instance] role: \"router\" given; it must be one of gateway, sidecar",
        ),
        (
            "listen = 127.0.0.1:0",
            "listen = here",
            "[instance] listen: `here` given; it must be IP:PORT",
        ),
        ("keys = k", "keys = ,", "[links] keys: must hold at least one key"),
        ("role = gateway", "role = sidecar", "[sidecar] is missing; role = sidecar needs it"),
        ("[links]", "[link]", "[link] is not a known section; did you mean [links]?"),
    ];
    for (old, new, wanted) in cases {
        let error = settings::parse("a.ini", &GOOD.replace(old, new)).unwrap_err().to_string();
        assert!(error.contains(wanted), "{error}");
    }
}
